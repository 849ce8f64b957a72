/** Ratio of the load at the end of a window to its average: waiting callers arrive at once. */
const SURGE_FACTOR = 1.25;

/**
 * Estimates the share of its limit that an account may have used in the part of the window without
 * usage data.
 *
 * @param knownMilliseconds - how far back some host has usage data
 */
export function unaccountedShare(knownMilliseconds: number, windowMilliseconds: number): number {
  const missing = Math.max(0, 1 - knownMilliseconds / windowMilliseconds);
  return Math.min(1, SURGE_FACTOR * missing);
}
