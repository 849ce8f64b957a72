/**
 * How much fuller the last part of a window may have been than the whole: callers that were kept waiting come
 * at once.
 */
const RUSH_AT_THE_END = 1.25;

/**
 * Part of its limit that an account may have used in the part of the window of which nobody remembers anything.
 *
 * @param knownMilliseconds - how far back some host knows what ran
 */
export function unaccountedShare(knownMilliseconds: number, windowMilliseconds: number): number {
  const unknown = Math.max(0, 1 - knownMilliseconds / windowMilliseconds);
  return Math.min(1, RUSH_AT_THE_END * unknown);
}
