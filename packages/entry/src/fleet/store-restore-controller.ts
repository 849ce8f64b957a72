import { rendezvousRank } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostSettings } from '../entry-host-settings.js';
import type { EventLog } from '../events.js';
import type { ViewExchange } from '../peers/view-exchange.js';
import type { EntryHostRecord, FleetChange } from './fleet-record.js';
import type { FleetView } from './fleet-view.js';
import type { StoreRestore } from './store-restore.js';
import { restoreSpreadMilliseconds } from './host-registration.js';
import type { StorePosition } from './store-position.js';
import { epochOf } from './store-position.js';

/** Hosts that one that starts asks what they know beyond the store. */
const PEERS_QUERIED_AT_START = 2;
/** Longest that it waits for them: several times the way between two regions and back. */
const QUERY_TIMEOUT_MILLISECONDS = 300;
/**
 * After the store's return, beside the time in which hosts write themselves again: records of targets that no longer write go after
 * three heartbeats.
 */
const REWRITE_GRACE_MILLISECONDS = 5_000;

export interface StoreRestoreControllerOptions {
  readonly settings: Pick<EntryHostSettings, 'name' | 'region'>;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly viewExchange: Pick<ViewExchange, 'ask' | 'take'>;
  /** How many entry hosts there are. */
  readonly hosts: () => number;
}

/** What one host does about a store that comes back from copies of itself, beside what its view keeps. */
export class StoreRestoreController {
  readonly #options: StoreRestoreControllerOptions;
  /** Since when others may write again what the store had lost; undefined where nothing is kept for that. */
  #keptSince: number | undefined;

  constructor(options: StoreRestoreControllerOptions) {
    this.#options = options;
    options.view.onRestore((returned) => {
      this.#take(returned);
    });
  }

  /**
   * Others may know more than a store that came back from a copy: a host that starts asks some of them before it serves by
   * what the store holds.
   */
  async queryPeers(position: StorePosition, listed: readonly FleetChange[]): Promise<() => void> {
    const { settings, clock, viewExchange: changes } = this.#options;
    const others = listed
      .flatMap(({ record }) => (record?.kind === 'entryHost' ? [record.host] : []))
      .filter(({ name }) => name !== settings.name);
    const near = others.filter(({ region }) => region === settings.region);
    const ranked = rendezvousRank(settings.name, near.length > 0 ? near : others, nameOf);
    const asked = ranked.slice(0, PEERS_QUERIED_AT_START);
    const askedAt = clock.now();
    const takes: (() => void)[] = [];
    const answers = asked.map(async ({ controlAddress }) => {
      const answer = await changes.ask(controlAddress, position);
      if (answer !== undefined) {
        takes.push(() => {
          changes.take(controlAddress, answer, askedAt);
        });
      }
    });
    await Promise.race([Promise.all(answers), clock.sleep(QUERY_TIMEOUT_MILLISECONDS)]);
    return () => {
      takes.forEach((take) => {
        take();
      });
    };
  }

  /** To be called a few times a second. Once all that write to the store have had time to write again, what it lacks is gone; also what others told later that they keep. */
  sweep(): void {
    const { clock, view, hosts } = this.#options;
    if (view.isReconciled) {
      this.#keptSince = undefined;
      return;
    }
    const now = clock.now();
    this.#keptSince ??= now;
    const spread = restoreSpreadMilliseconds(hosts());
    if (now - this.#keptSince >= REWRITE_GRACE_MILLISECONDS + spread) {
      this.#keptSince = now;
      view.reconcile();
    }
  }

  #take({ previous: former, position, retained: kept, missing }: StoreRestore): void {
    const { clock, events } = this.#options;
    this.#keptSince = clock.now();
    events.write({
      event: 'store-return',
      epoch: epochOf(position),
      formerEpoch: epochOf(former),
      revision: position.revision,
      knownRevision: former.revision,
      kept: kept.filter((key) => !missing.includes(key)),
      missing: [...missing],
    });
  }
}

function nameOf({ name }: EntryHostRecord): string {
  return name;
}
