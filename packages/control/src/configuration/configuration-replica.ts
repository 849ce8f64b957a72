import type { ConfigurationDocument } from '@ferrylock/schema';
import { stableHash } from '@ferrylock/utils';

type ChangeListener = (document: ConfigurationDocument) => void;

/**
 * The configuration of all accounts as one daemon holds it. It only ever moves forward: a document
 * of a lower generation is refused, whether it comes from a peer, a watch or the store itself.
 */
export class ConfigurationReplica {
  readonly #documents = new Map<string, ConfigurationDocument>();
  readonly #listeners: ChangeListener[] = [];
  /** The hashes of all accounts' generations, combined so that one changes without the others. */
  #digest = 0;

  /** Equal at two daemons exactly when they hold the same generations. */
  get digest(): string {
    return `${this.#documents.size}-${(this.#digest >>> 0).toString(16)}`;
  }

  get(account: string): ConfigurationDocument | undefined {
    return this.#documents.get(account);
  }

  all(): ConfigurationDocument[] {
    return [...this.#documents.values()];
  }

  generation(account: string): number {
    return this.#documents.get(account)?.generation ?? 0;
  }

  generations(): Record<string, number> {
    const entries = this.all().map((document) => [document.account, document.generation] as const);
    return Object.fromEntries(entries);
  }

  /** Documents that are newer here than the given generations. */
  newerThan(generations: Readonly<Record<string, number>>): ConfigurationDocument[] {
    return this.all().filter(
      (document) => document.generation > (generations[document.account] ?? 0),
    );
  }

  /** Calls the listener for each document that comes into force. */
  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /** Puts a document in force if it is newer than the one held; says whether it was. */
  offer(document: ConfigurationDocument): boolean {
    const held = this.#documents.get(document.account);
    if (held !== undefined && held.generation >= document.generation) {
      return false;
    }
    if (held !== undefined) {
      this.#digest ^= hashOf(held);
    }
    this.#digest ^= hashOf(document);
    this.#documents.set(document.account, document);
    for (const listener of this.#listeners) {
      listener(document);
    }
    return true;
  }
}

function hashOf(document: ConfigurationDocument): number {
  return stableHash(`${document.account} ${document.generation}`);
}
