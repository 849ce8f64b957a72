import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostSettings } from '../entry-host-settings.js';
import type { EventLog } from '../event-log.js';
import type { ViewExchange } from '../peers/view-exchange.js';
import type { EntryHostRecord, FleetChange } from './fleet-record.js';
import type { FleetView } from './fleet-view.js';
import type { StoreRestore } from './store-restore.js';
import { restoreSpreadMilliseconds } from './host-registration.js';
import type { StorePosition } from './store-position.js';
import { epochOf } from './store-position.js';

const PEERS_QUERIED_AT_START = 2;
/** Several round trips between two regions. */
const QUERY_TIMEOUT_MILLISECONDS = 300;
/** Longer than three heartbeats, after which records of dead targets are deleted. */
const REWRITE_GRACE_MILLISECONDS = 5_000;

export interface StoreRestoreControllerOptions {
  readonly settings: Pick<EntryHostSettings, 'name' | 'region'>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly viewExchange: Pick<ViewExchange, 'ask' | 'take'>;
  /** Number of entry hosts. */
  readonly hosts: () => number;
}

/** Recovers records that a restore of the store has lost, until they have been rewritten. */
export class StoreRestoreController {
  readonly #options: StoreRestoreControllerOptions;
  /** Start of the grace period for rewriting lost records; undefined if nothing is retained. */
  #retainedSince: number | undefined;

  constructor(options: StoreRestoreControllerOptions) {
    this.#options = options;
    options.view.onRestore((restore) => {
      this.#recordRestore(restore);
    });
  }

  /**
   * Asks peers for records that a restored store has lost, before this host serves by its first
   * listing. The returned function applies their responses.
   */
  async queryPeers(position: StorePosition, listed: readonly FleetChange[]): Promise<() => void> {
    const { settings, clock, viewExchange } = this.#options;
    const others = listed
      .flatMap(({ record }) => (record?.kind === 'entryHost' ? [record.host] : []))
      .filter(({ name }) => name !== settings.name);
    const local = others.filter(({ region }) => region === settings.region);
    const ranked = rendezvousRank(settings.name, local.length > 0 ? local : others, nameOf);
    const queried = ranked.slice(0, PEERS_QUERIED_AT_START);
    const sentAt = clock.now();
    const updates: (() => void)[] = [];
    const responses = queried.map(async ({ controlAddress }) => {
      const response = await viewExchange.ask(controlAddress, position);
      if (response !== undefined) {
        updates.push(() => {
          viewExchange.take(controlAddress, response, sentAt);
        });
      }
    });
    await Promise.race([Promise.all(responses), clock.sleep(QUERY_TIMEOUT_MILLISECONDS)]);
    return () => {
      updates.forEach((update) => {
        update();
      });
    };
  }

  /** Reconciles the view with the store after the grace period; called a few times a second. */
  sweep(): void {
    const { clock, view, hosts } = this.#options;
    if (view.isReconciled) {
      this.#retainedSince = undefined;
      return;
    }
    const now = clock.now();
    this.#retainedSince ??= now;
    const spread = restoreSpreadMilliseconds(hosts());
    if (now - this.#retainedSince >= REWRITE_GRACE_MILLISECONDS + spread) {
      this.#retainedSince = now;
      view.reconcile();
    }
  }

  #recordRestore({ previous, position, retained, missing }: StoreRestore): void {
    const { clock, events } = this.#options;
    this.#retainedSince = clock.now();
    events.write({
      event: 'store-return',
      epoch: epochOf(position),
      formerEpoch: epochOf(previous),
      revision: position.revision,
      knownRevision: previous.revision,
      kept: retained.filter((key) => !missing.includes(key)),
      missing: [...missing],
    });
  }
}

function nameOf({ name }: EntryHostRecord): string {
  return name;
}
