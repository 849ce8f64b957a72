import type { Clock } from '@ferrylock/utils';
import { rendezvousRank } from '@ferrylock/utils';

/** Most entry hosts that send to one cold target; each of them may begin with one request. */
const MOST_SENDERS = 4;
/** Requests a second that each sender is to have at least, so that its first one is a small part. */
const LEAST_RATE_OF_SENDER = 2;
/** Part of what a cold target bears that is used. */
const USED_SHARE = 0.7;

/** What decides whether this entry host may send a request to a cold target now. */
export interface ColdStartRequest {
  readonly target: string;
  /** Requests a second that the target bears. */
  readonly requestsPerSecond: number;
  readonly ownName: string;
  /** Names of all entry hosts, this one included; the same array while nothing changes. */
  readonly hosts: readonly string[];
}

/** This host's part in what goes to one cold target. */
interface Sender {
  readonly hosts: readonly string[];
  readonly isSender: boolean;
  lastSentAt: number;
}

/**
 * Keeps a cold target's arrivals under what it bears, over all entry hosts together and without a
 * message: a few hosts, the same ones by everybody's reckoning, send to it, each at an equal part
 * of the rate and never two requests closer than that part allows.
 */
export class ColdStartLimiter {
  readonly #senders = new Map<string, Sender>();

  constructor(readonly clock: Clock) {}

  tryAcquire(demand: ColdStartRequest): boolean {
    const { requestsPerSecond, hosts } = demand;
    const count = senderCount(requestsPerSecond, hosts.length);
    const sender = this.#senderFor(demand, count);
    const gap = (1_000 * count) / (requestsPerSecond * USED_SHARE);
    const now = this.clock.now();
    if (!sender.isSender || now - sender.lastSentAt < gap) {
      return false;
    }
    sender.lastSentAt = now;
    return true;
  }

  /** The target is warm or gone. */
  forget(target: string): void {
    this.#senders.delete(target);
  }

  #senderFor({ target, hosts, ownName }: ColdStartRequest, count: number): Sender {
    const known = this.#senders.get(target);
    if (known?.hosts === hosts) {
      return known;
    }
    const ranked = rendezvousRank(target, hosts, (name) => name).slice(0, count);
    const lastSentAt = known?.lastSentAt ?? -Infinity;
    const sender = { hosts, isSender: ranked.includes(ownName), lastSentAt };
    this.#senders.set(target, sender);
    return sender;
  }
}

function senderCount(requestsPerSecond: number, hosts: number): number {
  const fitting = Math.floor(requestsPerSecond / LEAST_RATE_OF_SENDER);
  return Math.max(1, Math.min(MOST_SENDERS, hosts, fitting));
}
