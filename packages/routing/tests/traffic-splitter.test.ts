import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { TrafficSplitter } from '../src/index.js';
import type { Route } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

function makeSplit(weights: Record<string, number>): Route {
  const shares = Object.entries(weights).map(([service, weight]) => ({ service, weight }));
  return makeRoute({ shares });
}

describe('TrafficSplitter', () => {
  it.each([
    ['few keys', 6, { a: 50, b: 50 }],
    ['one key', 1, { a: 70, b: 30 }],
    ['many keys', 500, { a: 90, b: 10 }],
    ['three services', 24, { a: 60, b: 25, c: 15 }],
  ])('matches the weights with %s', (_case, keys, weights) => {
    const splitter = new TrafficSplitter({ hostName: 'host-1' });
    const random = new SeededRandom(7);
    const route = makeSplit(weights);
    const counts = new Map<string, number>();
    for (let request = 0; request < 1_000; request++) {
      const service = splitter.pick(route, `object-${Math.floor(random.next() * keys)}`);
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    for (const [service, weight] of Object.entries(weights)) {
      expect(Math.abs((counts.get(service) ?? 0) / 1_000 - weight / 100)).toBeLessThan(0.08);
    }
  });

  it('keeps most requests of a key on one service', () => {
    const splitter = new TrafficSplitter({ hostName: 'host-1' });
    const random = new SeededRandom(7);
    const route = makeSplit({ a: 50, b: 50 });
    const byKey = new Map<string, Map<string, number>>();
    for (let request = 0; request < 3_000; request++) {
      const key = `object-${Math.floor(random.next() * 60)}`;
      const service = splitter.pick(route, key);
      const counts = byKey.get(key) ?? new Map<string, number>();
      counts.set(service, (counts.get(service) ?? 0) + 1);
      byKey.set(key, counts);
    }
    const onMainService = [...byKey.values()].reduce(
      (sum, counts) => sum + Math.max(...counts.values()),
      0,
    );
    expect(onMainService / 3_000).toBeGreaterThan(0.8);
  });

  it('adapts to new weights', () => {
    const splitter = new TrafficSplitter({ hostName: 'host-1' });
    for (let request = 0; request < 300; request++) {
      splitter.pick(makeSplit({ a: 100, b: 0 }), `object-${request % 10}`);
    }
    let toB = 0;
    for (let request = 0; request < 300; request++) {
      toB += splitter.pick(makeSplit({ a: 0, b: 100 }), `object-${request % 10}`) === 'b' ? 1 : 0;
    }
    expect(toB).toBe(300);
  });
});

// Guards against a host that repays what it sent by earlier weights, which nobody asked of it.
it('begins anew with each set of weights', () => {
  const splitter = new TrafficSplitter({ hostName: 'host-1' });
  const random = new SeededRandom(7);
  const shareOfB = (weights: Record<string, number>, requests: number): number => {
    const route = makeSplit(weights);
    const services = Array.from({ length: requests }, () =>
      splitter.pick(route, `object-${Math.floor(random.next() * 20)}`),
    );
    return services.filter((service) => service === 'b').length / requests;
  };
  shareOfB({ a: 90, b: 10 }, 300);
  expect(Math.abs(shareOfB({ a: 50, b: 50 }, 40) - 0.5)).toBeLessThan(0.1);
});

it('forgets routes that are gone', () => {
  const splitter = new TrafficSplitter({ hostName: 'host-1' });
  const route = makeSplit({ a: 50, b: 50 });
  const first = Array.from({ length: 3 }, () => splitter.pick(route, 'one'));
  splitter.retain([route]);
  splitter.retain([]);
  expect(Array.from({ length: 3 }, () => splitter.pick(route, 'one'))).toEqual(first);
});

// Guards against a request that another host counts for one service and this one sends to another.
it('keeps to the service that another host picked, which counts it, while the route has it', () => {
  const splitter = new TrafficSplitter({ hostName: 'host-1' });
  const route = makeSplit({ a: 50, b: 50, c: 0 });
  for (let request = 0; request < 20; request++) {
    expect(splitter.pick(route, 'one', 'b')).toBe('b');
  }
  const untouched = new TrafficSplitter({ hostName: 'host-1' });
  expect(splitter.pick(route, 'one')).toBe(untouched.pick(route, 'one'));
  expect(['a', 'b']).toContain(splitter.pick(route, 'one', 'c'));
  expect(['a', 'b']).toContain(splitter.pick(route, 'one', 'gone'));
});
