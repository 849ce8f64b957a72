import type { ArrivalAtLimit } from './limit-windows.js';

/** What a target does with a request. */
export interface TargetReply {
  /** It turns the request away and wants none from this host for so long; 0 asks for nothing. */
  readonly restMilliseconds?: number;
  /** Its answer says that it leaves. */
  readonly isLeaving?: boolean;
  /** Its answer names so many requests a second, from all hosts together. */
  readonly limitPerSecond?: number;
}

/** A request that reached a target. */
export interface FleetArrival {
  readonly host: string;
  readonly target: string;
  readonly at: number;
  /** When its caller sent it. */
  readonly askedAt: number;
  /** What the target replied, at that moment. */
  readonly reply: TargetReply;
}

/** Decides how a target replies; `undefined` leaves it to the target's load. */
export type TargetConduct = (arrival: Omit<FleetArrival, 'reply'>) => TargetReply | undefined;

/** Requests that reached targets, as these count them, and what was asked for before. */
export class FleetArrivals {
  readonly all: FleetArrival[] = [];

  /** @param wayMilliseconds - from a target to a host */
  constructor(readonly wayMilliseconds: number) {}

  /**
   * The most requests that reached a target from a host in one of its rests, from a moment after the answer that
   * asked for it.
   */
  mostInOneRest(afterMilliseconds: number): number {
    const rests = this.all.filter(({ reply }) => (reply.restMilliseconds ?? 0) > 0);
    const counts = rests.map(({ host, target, at, reply }) => {
      const from = at + afterMilliseconds;
      const until = at + (reply.restMilliseconds ?? 0);
      const isIn = (arrival: FleetArrival): boolean =>
        arrival.host === host &&
        arrival.target === target &&
        arrival.at > from &&
        arrival.at < until;
      return this.all.filter(isIn).length;
    });
    return Math.max(0, ...counts);
  }

  /** What reached a target, with the limits that it named. */
  atLimit(target: string): ArrivalAtLimit[] {
    return this.all
      .filter((arrival) => arrival.target === target)
      .map(({ host, at, reply }) => ({ host, at, limitPerSecond: reply.limitPerSecond }));
  }

  /** Requests that callers sent later than this after a target's first word to a host that it leaves, and that reached it. */
  sentAfterLeaving(afterMilliseconds: number): number {
    const saidAt = new Map<string, number>();
    let count = 0;
    for (const { host, target, at, askedAt, reply } of this.all) {
      const pair = `${host} ${target}`;
      const said = saidAt.get(pair);
      count += Number(said !== undefined && askedAt > said + afterMilliseconds);
      if (reply.isLeaving === true && said === undefined) {
        saidAt.set(pair, at + this.wayMilliseconds);
      }
    }
    return count;
  }
}
