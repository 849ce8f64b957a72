/** Limit on retained names. */
const MAX_NAMES = 32;
const MAX_NAME_LENGTH = 64;

/** Detects first occurrences of untrusted names, up to a limit, so that each is logged once. */
export class FirstOccurrences {
  readonly #names = new Set<string>();

  /** @returns the truncated name, or undefined if it was seen before or the limit is reached */
  add(name: string): string | undefined {
    const truncated = name.slice(0, MAX_NAME_LENGTH);
    if (this.#names.size >= MAX_NAMES || this.#names.has(truncated)) {
      return undefined;
    }
    this.#names.add(truncated);
    return truncated;
  }
}
