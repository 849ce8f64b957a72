/** Names that are kept; more would rather be a fault at who sends them. */
const MOST_NAMES = 32;
const LONGEST_NAME_CHARACTERS = 64;

/** Tells of names that others choose which came for the first time, so that each is written down once, and not without end. */
export class FirstOccurrences {
  readonly #names = new Set<string>();

  /** @returns the name as it is to be written, or undefined where it was mentioned before, or too many were */
  add(name: string): string | undefined {
    const short = name.slice(0, LONGEST_NAME_CHARACTERS);
    if (this.#names.size >= MOST_NAMES || this.#names.has(short)) {
      return undefined;
    }
    this.#names.add(short);
    return short;
  }
}
