import type { KeyValueStore, StoredValue, StoreFailure } from '@ferrylock/platform';
import type {
  ChangeRecord,
  ChangeResult,
  ConfigurationDocument,
  Declaration,
  Drain,
} from '@ferrylock/schema';
import type { Clock, Logger } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { configurationKey, historyKey } from './configuration-keys.js';
import type { ConfigurationReplica } from './configuration-replica.js';
import { readStoredDocument } from './stored-document.js';

/** Size limit of a document, from the value limit of the platform's key-value service. */
const MAXIMUM_DOCUMENT_BYTES = 1_000_000;
/** Maximum number of change records in a document, which detect repeated requests. */
const REMEMBERED_CHANGES = 100;
/** Attempts to resolve the outcome of a write whose reply was lost. */
const RESOLVE_ATTEMPTS = 5;
const RESOLVE_INTERVAL_MILLISECONDS = 200;

/** Change requested by an operator. */
export interface ChangeRequest {
  readonly account: string;
  readonly changeId: string;
  /** Generation that the operator's change is based on. */
  readonly basedOn: number;
  readonly author: string;
  readonly kind: ChangeRecord['kind'];
}

export type ChangeFailure =
  | { readonly kind: 'conflict'; readonly basedOn: number; readonly current: number }
  | { readonly kind: 'storeUnavailable'; readonly message: string }
  | { readonly kind: 'outcomeUnknown'; readonly message: string }
  | { readonly kind: 'tooLarge'; readonly bytes: number; readonly maximumBytes: number }
  | { readonly kind: 'notFound'; readonly message: string };

/** Computes the changed parts of a document from its previous version. */
type Edit = (
  before: ConfigurationDocument | undefined,
) => Result<Pick<ConfigurationDocument, 'declaration' | 'drains'>, ChangeFailure>;

interface Base {
  readonly stored: StoredValue | undefined;
  readonly document: ConfigurationDocument | undefined;
}

export interface ConfigurationServiceOptions {
  readonly store: KeyValueStore;
  readonly replica: ConfigurationReplica;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Called with each document that was stored. */
  readonly onStored: (document: ConfigurationDocument) => void;
}

/** Stores operators' changes by compare-and-swap, each at most once. */
export class ConfigurationService {
  readonly #options: ConfigurationServiceOptions;

  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
  }

  /** Replaces the account's declaration and keeps its drains. */
  apply(
    request: ChangeRequest,
    declaration: Declaration,
  ): Promise<Result<ChangeResult, ChangeFailure>> {
    return this.#change(request, (before) => Ok({ declaration, drains: before?.drains ?? [] }));
  }

  /** Reinstates the declaration of an earlier generation as a new one. */
  async rollback(
    request: ChangeRequest,
    toGeneration: number,
  ): Promise<Result<ChangeResult, ChangeFailure>> {
    const stored = await this.#options.store.get(historyKey(request.account, toGeneration));
    if (stored.isErr()) {
      return Err({ kind: 'storeUnavailable', message: stored.error.message });
    }
    const earlier = readStoredDocument(stored.value);
    if (earlier === undefined) {
      return Err({ kind: 'notFound', message: `no generation ${toGeneration} is kept` });
    }
    return this.#change(request, (before) =>
      Ok({ declaration: earlier.declaration, drains: before?.drains ?? [] }),
    );
  }

  drain(request: ChangeRequest, drain: Drain): Promise<Result<ChangeResult, ChangeFailure>> {
    return this.#changeDrains(request, (drains) => [
      ...drains.filter((other) => !sameDrain(other, drain)),
      drain,
    ]);
  }

  undrain(request: ChangeRequest, drain: Drain): Promise<Result<ChangeResult, ChangeFailure>> {
    return this.#changeDrains(request, (drains) =>
      drains.filter((other) => !sameDrain(other, drain)),
    );
  }

  #changeDrains(
    request: ChangeRequest,
    edit: (drains: readonly Drain[]) => Drain[],
  ): Promise<Result<ChangeResult, ChangeFailure>> {
    return this.#change(request, (before) =>
      before === undefined
        ? Err({ kind: 'notFound', message: `account "${request.account}" is not declared` })
        : Ok({ declaration: before.declaration, drains: edit(before.drains) }),
    );
  }

  async #change(request: ChangeRequest, edit: Edit): Promise<Result<ChangeResult, ChangeFailure>> {
    const base = await this.#readBase(request.account);
    if (base.isErr()) {
      return Err({ kind: 'storeUnavailable', message: base.error.message });
    }
    const { document: before } = base.value;
    const earlier = findChange(before, request.changeId);
    if (earlier !== undefined) {
      return Ok({ generation: earlier.generation, alreadyApplied: true });
    }
    const current = before?.generation ?? 0;
    if (request.basedOn !== current) {
      return Err({ kind: 'conflict', basedOn: request.basedOn, current });
    }
    const edited = edit(before);
    if (edited.isErr()) {
      return edited;
    }
    const document = this.#nextDocument(request, before, edited.value);
    const bytes = Buffer.byteLength(JSON.stringify(document));
    if (bytes > MAXIMUM_DOCUMENT_BYTES) {
      return Err({ kind: 'tooLarge', bytes, maximumBytes: MAXIMUM_DOCUMENT_BYTES });
    }
    return this.#store(base.value.stored, document);
  }

  /** Reads the newest known document: the store's, or the replica's if the store is behind. */
  async #readBase(account: string): Promise<Result<Base, StoreFailure>> {
    const read = await this.#options.store.get(configurationKey(account));
    return read.map((stored) => {
      const inStore = readStoredDocument(stored);
      const held = this.#options.replica.get(account);
      const isStoreBehind = (held?.generation ?? 0) > (inStore?.generation ?? 0);
      return { stored, document: isStoreBehind ? held : inStore };
    });
  }

  #nextDocument(
    request: ChangeRequest,
    before: ConfigurationDocument | undefined,
    edited: Pick<ConfigurationDocument, 'declaration' | 'drains'>,
  ): ConfigurationDocument {
    const generation = (before?.generation ?? 0) + 1;
    const record: ChangeRecord = {
      generation,
      changeId: request.changeId,
      basedOn: request.basedOn,
      author: request.author,
      at: this.#options.clock.wallTime().toISOString(),
      kind: request.kind,
    };
    const changes = [...(before?.changes ?? []), record].slice(-REMEMBERED_CHANGES);
    return { account: request.account, generation, ...edited, changes };
  }

  /**
   * Writes the document if the store is still at its base revision. All attempts expect the same
   * revision, so at most one takes effect, even if it arrives late.
   */
  async #store(
    base: StoredValue | undefined,
    document: ConfigurationDocument,
  ): Promise<Result<ChangeResult, ChangeFailure>> {
    const value = JSON.stringify(document);
    let mayBeStored = false;
    let message = '';
    for (let attempt = 0; attempt < RESOLVE_ATTEMPTS; attempt++) {
      const swap = await this.#options.store.compareAndSwap({
        key: configurationKey(document.account),
        expectedRevision: base?.revision ?? 0,
        value,
        alongside: [{ key: historyKey(document.account, document.generation), value }],
      });
      if (swap.isOk()) {
        return swap.value.swapped
          ? this.#stored(document, false)
          : this.#resolveMismatch(document, readStoredDocument(swap.value.current));
      }
      message = swap.error.message;
      mayBeStored ||= swap.error.mayHaveTakenEffect;
      if (!mayBeStored) {
        return Err({ kind: 'storeUnavailable', message });
      }
      await this.#options.clock.sleep(RESOLVE_INTERVAL_MILLISECONDS);
    }
    return Err({ kind: 'outcomeUnknown', message });
  }

  /** Handles a changed revision, caused by an earlier attempt or by another change. */
  #resolveMismatch(
    document: ConfigurationDocument,
    current: ConfigurationDocument | undefined,
  ): Result<ChangeResult, ChangeFailure> {
    const record = document.changes.at(-1);
    const found = findChange(current, record?.changeId ?? '');
    if (found === undefined) {
      return Err({
        kind: 'conflict',
        basedOn: record?.basedOn ?? 0,
        current: current?.generation ?? 0,
      });
    }
    if (current?.generation === document.generation) {
      return this.#stored(document, true);
    }
    return Ok({ generation: found.generation, alreadyApplied: true });
  }

  #stored(document: ConfigurationDocument, alreadyApplied: boolean): Result<ChangeResult, never> {
    const record = document.changes.at(-1);
    this.#options.logger.info('configuration changed', {
      audit: true,
      account: document.account,
      ...record,
    });
    this.#options.onStored(document);
    return Ok({ generation: document.generation, alreadyApplied });
  }
}

function findChange(
  document: ConfigurationDocument | undefined,
  changeId: string,
): ChangeRecord | undefined {
  return document?.changes.find((change) => change.changeId === changeId);
}

function sameDrain(a: Drain, b: Drain): boolean {
  const service = (drain: Drain): string => (drain.scope === 'target' ? drain.service : '');
  return a.scope === b.scope && a.name === b.name && service(a) === service(b);
}
