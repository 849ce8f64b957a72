import type { Clock } from '@ferrylock/utils';
import { rendezvousRank } from '@ferrylock/utils';

/** Limit on entry hosts that send to one cold target; each may start with one request. */
const MAX_SENDERS = 4;
/**
 * Minimum rate of each sender in requests per second, so that the request with which each may start
 * is a small part of its rate.
 */
const MIN_SENDER_RATE = 2;
/** Fraction of the capacity of a cold target that is used. */
const UTILIZATION = 0.7;

/** Request of this entry host to send to a cold target now. */
export interface ColdStartRequest {
  readonly target: string;
  /** Requests per second that the target sustains while cold. */
  readonly requestsPerSecond: number;
  readonly ownName: string;
  /** Names of all entry hosts, including this one; a new array after each change. */
  readonly hosts: readonly string[];
}

/** State of this host as a sender to one cold target. */
interface Sender {
  readonly hosts: readonly string[];
  readonly isSender: boolean;
  lastSentAt: number;
}

/**
 * Limits requests to cold targets over all entry hosts without coordination. Rendezvous hashing
 * selects a few hosts as senders; each sends an equal share of the rate at evenly spaced times.
 */
export class ColdStartLimiter {
  readonly #senders = new Map<string, Sender>();

  constructor(readonly clock: Clock) {}

  tryAcquire(demand: ColdStartRequest): boolean {
    const { requestsPerSecond, hosts } = demand;
    const count = senderCount(requestsPerSecond, hosts.length);
    const sender = this.#senderFor(demand, count);
    const minInterval = (1_000 * count) / (requestsPerSecond * UTILIZATION);
    const now = this.clock.now();
    if (!sender.isSender || now - sender.lastSentAt < minInterval) {
      return false;
    }
    sender.lastSentAt = now;
    return true;
  }

  /** Drops the state of a target that is warm or was removed. */
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
  const byRate = Math.floor(requestsPerSecond / MIN_SENDER_RATE);
  return Math.max(1, Math.min(MAX_SENDERS, hosts, byRate));
}
