import type { IncomingHttpHeaders } from 'node:http';

/** Hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const NONE: ReadonlySet<string> = new Set();

/**
 * Removes hop-by-hop headers.
 *
 * @param consumed - names of further headers to remove
 */
export function forwardableHeaders(
  headers: IncomingHttpHeaders,
  consumed = NONE,
): Record<string, string | string[]> {
  const options = connectionOptions(headers.connection);
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isHopByHop = HOP_BY_HOP_HEADERS.has(name) || options.includes(name);
    if (value !== undefined && !isHopByHop && !consumed.has(name)) {
      forwarded[name] = value;
    }
  }
  return forwarded;
}

/** Names of headers that a `Connection` header declares as hop-by-hop. */
function connectionOptions(connection: string | undefined): string[] {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
    return [];
  }
  return connection.split(',').map((option) => option.trim().toLowerCase());
}
