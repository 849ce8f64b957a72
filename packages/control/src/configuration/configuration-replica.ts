import type { ConfigurationDocument } from '@ferrylock/schema';
import { stableHash } from '@ferrylock/utils';

type ChangeListener = (document: ConfigurationDocument) => void;

/**
 * One daemon's copy of the configuration of all accounts. Generations are monotonic: an older
 * document is rejected, whether it comes from a peer, a watch or the store.
 */
export class ConfigurationReplica {
  readonly #documents = new Map<string, ConfigurationDocument>();
  readonly #listeners: ChangeListener[] = [];
  /** XOR of the hashes of all accounts' generations, which allows incremental updates. */
  #digest = 0;

  /** Digest of all generations, for comparison with other daemons. */
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

  /** Documents with a higher generation than the given one. */
  newerThan(generations: Readonly<Record<string, number>>): ConfigurationDocument[] {
    return this.all().filter(
      (document) => document.generation > (generations[document.account] ?? 0),
    );
  }

  /** Registers a listener for each document that takes effect. */
  onChange(listener: ChangeListener): void {
    this.#listeners.push(listener);
  }

  /** Applies a document if it is newer than the current one; returns true if so. */
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
