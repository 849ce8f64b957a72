import { z } from 'zod';

const NUMERIC_TEXT = /^-?\d+(\.\d+)?$/;
const MAXIMUM_NAME_LENGTH = 63;

/** INI files give every value as text; a text that is a number counts as one, in JSON too. */
function numberFromText(value: unknown): unknown {
  return typeof value === 'string' && NUMERIC_TEXT.test(value) ? Number(value) : value;
}

/** A number, also accepted in its textual form. */
export function numberField(minimum: number, maximum: number) {
  return z.preprocess(numberFromText, z.number().min(minimum).max(maximum));
}

/** A whole number, also accepted in its textual form. */
export function wholeNumberField(minimum: number, maximum: number) {
  return z.preprocess(numberFromText, z.int().min(minimum).max(maximum));
}

/** Name of an account, service, target or place: letters, digits and hyphens, no dots. */
export const nameSchema = z
  .string()
  .max(MAXIMUM_NAME_LENGTH)
  .regex(
    /^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/,
    'expected lower-case letters, digits and inner hyphens',
  );

/** An address by its IP number, version 4 or 6. */
export const ipAddressSchema = z.union([z.ipv4(), z.ipv6()], {
  error: 'expected an IP number, version 4 or 6',
});

/** A port that can be connected to. */
export const portSchema = wholeNumberField(1, 65_535);

/** Milliseconds of a delay or time-out, at most one day. */
export function millisecondsField(minimum: number) {
  return wholeNumberField(minimum, 86_400_000);
}
