import { z } from 'zod';

const MAX_PORT = 65_535;

/**
 * IPv4 address and port that a connection can be made to, such as `10.1.0.34:8548`. Names are not
 * allowed, since they would be looked up.
 */
export const networkAddressSchema = z
  .string()
  .refine(isNetworkAddress, `expected an IP address and a port from 1 to ${MAX_PORT}`);

function isNetworkAddress(text: string): boolean {
  const [host, port, ...others] = text.split(':');
  return (
    others.length === 0 &&
    z.ipv4().safeParse(host).success &&
    /^[1-9]\d{0,4}$/.test(port ?? '') &&
    Number(port) <= MAX_PORT
  );
}
