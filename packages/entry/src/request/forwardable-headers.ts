import type { IncomingHttpHeaders } from 'node:http';

/** Headers that concern one connection and are not passed on (RFC 9110, 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
 * Headers as they go on, without those that concern only the connection they came on.
 *
 * @param own - names of headers that are meant for this host and end here
 */
export function forwardableHeaders(
  headers: IncomingHttpHeaders,
  own = NONE,
): Record<string, string | string[]> {
  const named = connectionOptions(headers.connection);
  const passed: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    const isConnections = CONNECTION_HEADERS.has(name) || named.includes(name);
    if (value !== undefined && !isConnections && !own.has(name)) {
      passed[name] = value;
    }
  }
  return passed;
}

/** Headers that the sender names as concerning this connection only. */
function connectionOptions(connection: string | undefined): string[] {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
    return [];
  }
  return connection.split(',').map((option) => option.trim().toLowerCase());
}
