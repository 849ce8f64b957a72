import type { Clock } from '@ferrylock/utils';
import { rendezvousRank } from '@ferrylock/utils';

/** Most entry hosts that send to one cold target; each of them may begin with one request. */
const MOST_SENDERS = 4;
/** Part of what a cold target bears that is used. */
const USED_SHARE = 0.7;

/** Decides whether this entry host may send a request to a cold target now. */
export interface ColdDemand {
  readonly target: string;
  /** Requests a second that the target bears. */
  readonly requestsPerSecond: number;
  readonly ownName: string;
  /** Names of all entry hosts that are alive, this one included. */
  readonly hosts: readonly string[];
}

/**
 * Keeps a cold target's arrivals under what it bears, over all entry hosts together and without a
 * message: a few hosts, the same ones by everybody's reckoning, send to it, each at an equal part
 * of the rate and never two requests closer than that part allows.
 */
export class ColdGate {
  readonly #lastSentAt = new Map<string, number>();

  constructor(readonly clock: Clock) {}

  tryTake({ target, requestsPerSecond, ownName, hosts }: ColdDemand): boolean {
    const senders = Math.max(1, Math.min(MOST_SENDERS, Math.floor(requestsPerSecond / 2)));
    const ranked = rendezvousRank(target, hosts, (name) => name).slice(0, senders);
    if (!ranked.includes(ownName)) {
      return false;
    }
    const gap = (1_000 * senders) / (requestsPerSecond * USED_SHARE);
    const now = this.clock.now();
    if (now - (this.#lastSentAt.get(target) ?? -Infinity) < gap) {
      return false;
    }
    this.#lastSentAt.set(target, now);
    return true;
  }
}
