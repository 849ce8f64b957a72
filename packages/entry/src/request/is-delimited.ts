import type { IncomingHttpHeaders } from 'node:http';

/**
 * Whether the head of an answer tells where its body ends; otherwise the end of the connection does
 * (RFC 9112, 6.3).
 */
export function isDelimited(headers: IncomingHttpHeaders): boolean {
  const codings = headers['transfer-encoding'];
  return codings === undefined
    ? headers['content-length'] !== undefined
    : codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}
