import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { epochOf } from '../fleet/store-position.js';
import type { PeerCalls } from './peer-calls.js';
import type { DeltaParams, DeltaResult } from './peer-messages.js';

/**
 * Shortest time between two calls to peers. While many changes come one after the other, as where all
 * hosts start, each message tells of a newer one; one call brings all of them.
 */
const MIN_FETCH_INTERVAL_MILLISECONDS = 150;

export interface ViewExchangeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly client: PeerCalls;
  /** When the store last answered this host itself, in monotonic milliseconds. */
  readonly storeAnsweredAt: () => number;
}

/** Hands what is known of the store to hosts that ask for it by a call, and asks them. */
export class ViewExchange {
  readonly #options: ViewExchangeOptions;
  #isFetching = false;
  #fetchedAt = -Infinity;

  constructor(options: ViewExchangeOptions) {
    this.#options = options;
  }

  /** Answers a peer that asks for what it does not know yet. */
  deltaFor({ afterRevision, afterEpoch }: DeltaParams): DeltaResult {
    const { view } = this.#options;
    const age = this.#storeAnswerAge();
    const after = { epoch: afterEpoch, revision: afterRevision };
    const isFurther = epochOf(after) > view.epoch;
    const delta = afterRevision === 0 || isFurther ? undefined : view.deltaSince(after);
    const { kept = [], ...known } = delta ?? view.snapshot();
    return {
      isWhole: delta === undefined,
      ...known,
      changes: [...known.changes],
      ...(kept.length === 0 ? {} : { kept: [...kept] }),
      ...(age === undefined ? {} : { answeredAgeMilliseconds: age }),
    };
  }

  /** Asks a peer, by its address, for what it knows beyond this host; tells whether it helped. */
  async fetchFrom(address: string): Promise<boolean> {
    const { view, clock } = this.#options;
    const askedAt = clock.now();
    const answer = await this.ask(address, view.position);
    if (answer !== undefined) {
      this.take(address, answer, askedAt);
    }
    return answer !== undefined;
  }

  /** What a peer knows beyond a position; undefined where it does not answer, or knows nothing. */
  async ask(address: string, after: StorePosition): Promise<DeltaResult | undefined> {
    const answer = await this.#options.client.delta(address, after);
    return answer.isErr() || answer.value.revision === 0 ? undefined : answer.value;
  }

  /** Takes over what a peer answered. */
  take(address: string, answer: DeltaResult, askedAt: number): void {
    const { view } = this.#options;
    const { isWhole, epoch, revision, changes, answeredAgeMilliseconds } = answer;
    if (isWhole) {
      view.replace({ epoch, revision }, changes);
    } else {
      view.apply(answer);
    }
    if (answeredAgeMilliseconds !== undefined && epochOf(answer) === view.epoch) {
      view.confirm(view.lastChange, askedAt - answeredAgeMilliseconds);
    }
    this.logChanges(address, answer);
  }

  /** Asks a peer, by its address, unless a call is under way or has just been; tells whether it does. */
  fetchIfIdle(address: string): boolean {
    const now = this.#options.clock.now();
    if (this.#isFetching || now - this.#fetchedAt < MIN_FETCH_INTERVAL_MILLISECONDS) {
      return false;
    }
    this.#fetchedAt = now;
    this.#isFetching = true;
    void this.fetchFrom(address).finally(() => {
      this.#isFetching = false;
    });
    return true;
  }

  /** Writes which keys others' news was about. */
  logChanges(
    source: string,
    { revision, changes }: Pick<DeltaResult, 'revision' | 'changes'>,
  ): void {
    if (changes.length > 0) {
      const keys = changes.map(({ key }) => key);
      this.#options.events.write({ event: 'view', source, revision, changes: keys });
    }
  }

  #storeAnswerAge(): number | undefined {
    const { clock, storeAnsweredAt } = this.#options;
    const age = clock.now() - storeAnsweredAt();
    return Number.isFinite(age) ? Math.round(age) : undefined;
  }
}
