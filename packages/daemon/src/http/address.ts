/** An address to listen on or connect to. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits text such as 127.0.0.1:8080 or [::1]:8080. */
export function splitAddress(text: string): HostAndPort {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(text.slice(colon + 1)) };
}

/** Puts an address together again, with brackets around IPv6 numbers. */
export function joinAddress({ host, port }: HostAndPort): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
