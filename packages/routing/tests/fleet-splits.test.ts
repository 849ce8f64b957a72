/** Guards against a fleet that does not keep the weights of a split, though each host does in the long run. */
import { SeededRandom } from '@ferrylock/utils';
import { makeRoute } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { TrafficSplitter } from '../src/index.js';
import type { Route } from '../src/index.js';

type Weights = Readonly<Record<string, number>>;

/** Requests of the whole fleet over which shares are compared with weights. */
const SPAN_REQUESTS = 300;
/** Share by which a service may miss its weight: the target of the deployments. */
const MAX_DEVIATION = 0.1;
/** Standard deviations that chance adds, as each request is for a host and a key at random. */
const CHANCE_DEVIATIONS = 3;
const SEEDS = [1, 2, 3, 4];

/** Sets of weights in the order in which they are in force, with the number of requests under each. */
const CHANGES: readonly (readonly [Weights, number])[] = [
  [{ a: 90, b: 10 }, 1_500],
  [{ a: 50, b: 50 }, 900],
  [{ a: 10, b: 90 }, 300],
  [{ a: 90, b: 10 }, 900],
  [{ a: 60, b: 25, c: 15 }, 900],
  [{ a: 60, b: 0, c: 40 }, 600],
  [{ a: 30, b: 70 }, 900],
];

/** Hosts that split the requests of one route, each for a host and an object at random. */
class SplitFleet {
  readonly #random: SeededRandom;
  readonly #hosts: readonly TrafficSplitter[];

  constructor(
    readonly hosts: number,
    readonly keys: number,
    readonly seed: number,
  ) {
    this.#random = new SeededRandom(seed);
    this.#hosts = Array.from(
      { length: hosts },
      (_, host) => new TrafficSplitter({ hostName: `host-${host}` }),
    );
  }

  /** Serves one request. Some objects are asked for more often than others. */
  serve(weights: Weights) {
    const host = Math.floor(this.#random.next() * this.hosts);
    const key = Math.floor(this.#random.next() ** 2 * this.keys);
    const route = makeSplit(weights, `split-${this.seed}`);
    const service = this.#hosts[host]?.pick(route, `object-${key}`) ?? '';
    return { host, key, service };
  }
}

function makeSplit(weights: Weights, name: string): Route {
  const shares = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  return makeRoute({ name, shares });
}

/** Largest excess of a deviation over what is allowed in one span. */
function excessOf(services: readonly string[], weights: Weights): number {
  const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0);
  const excesses = Object.entries(weights).map(([service, weight]) => {
    const wanted = weight / total;
    const share = services.filter((picked) => picked === service).length / services.length;
    const chance = CHANCE_DEVIATIONS * Math.sqrt((wanted * (1 - wanted)) / services.length);
    return Math.abs(share - wanted) - MAX_DEVIATION - chance;
  });
  return Math.max(...excesses);
}

/** Spans in which a service missed its weight. */
function missedSpans(fleet: SplitFleet): string[] {
  const missed: string[] = [];
  for (const [weights, requests] of CHANGES) {
    for (let from = 0; from < requests; from += SPAN_REQUESTS) {
      const services = Array.from({ length: SPAN_REQUESTS }, () => fleet.serve(weights).service);
      if (excessOf(services, weights) > 0) {
        missed.push(`${fleet.keys} keys, ${JSON.stringify(weights)} after ${from}`);
      }
    }
  }
  return missed;
}

/** Share of the requests that went to the service that most requests of the same group went to. */
function shareOnMainService(
  picks: readonly { readonly group: string; readonly service: string }[],
): number {
  const groups = new Map<string, Map<string, number>>();
  for (const { group, service } of picks) {
    const counts = groups.get(group) ?? new Map<string, number>();
    counts.set(service, (counts.get(service) ?? 0) + 1);
    groups.set(group, counts);
  }
  const onMain = [...groups.values()].reduce(
    (sum, counts) => sum + Math.max(...counts.values()),
    0,
  );
  return onMain / picks.length;
}

describe('a split of requests by many hosts', () => {
  it.each([1, 3, 12, 60, 195])(
    'keeps its weights from the first request and after each change on %i hosts',
    (hosts) => {
      const fleets = SEEDS.flatMap((seed) =>
        [1, 4, 35, 500].map((keys) => new SplitFleet(hosts, keys, seed)),
      );
      expect(fleets.flatMap(missedSpans)).toEqual([]);
    },
  );

  it.each([3, 12, 60, 195])('keeps a key with one service at each of %i hosts', (hosts) => {
    const fleet = new SplitFleet(hosts, 35, 1);
    const picks = Array.from({ length: hosts * 200 }, () => fleet.serve({ a: 50, b: 50 }));
    const groups = picks.map(({ host, key, service }) => ({ group: `${host} ${key}`, service }));
    expect(shareOnMainService(groups)).toBeGreaterThan(0.8);
  });

  it.each([12, 60])('keeps a key with one service at all of %i hosts if keys are many', (hosts) => {
    const fleet = new SplitFleet(hosts, 2_000, 1);
    const picks = Array.from({ length: hosts * 400 }, () => fleet.serve({ a: 50, b: 50 }));
    const groups = picks.map(({ key, service }) => ({ group: String(key), service }));
    expect(shareOnMainService(groups)).toBeGreaterThan(0.8);
  });

  it('sends nothing to a service of weight 0', () => {
    const fleet = new SplitFleet(3, 5, 1);
    Array.from({ length: 300 }, () => fleet.serve({ a: 50, b: 50 }));
    const services = Array.from({ length: 600 }, () => fleet.serve({ a: 0, b: 70, c: 30 }).service);
    expect(services).not.toContain('a');
  });
});
