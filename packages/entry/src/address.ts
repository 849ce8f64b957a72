/** An IP address and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits text such as `10.1.0.34:8548`. */
export function splitAddress(text: string): HostAndPort {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
