import { describe, expect, it } from 'vitest';
import { WaitingRequests } from '../../src/queue/waiting-requests.js';

interface Named {
  readonly name: string;
  readonly priority: number;
  readonly account: string | undefined;
}

function makeWaiting(requests: readonly (readonly [string, number, string?])[]) {
  const waiting = new WaitingRequests<Named>();
  for (const [name, priority, account] of requests) {
    waiting.add({ name, priority, account });
  }
  const takeAll = (): string[] => {
    const names: string[] = [];
    for (let next = waiting.take(() => true); next !== undefined; next = waiting.take(() => true)) {
      names.push(next.name);
    }
    return names;
  };
  return { waiting, takeAll };
}

describe('WaitingRequests', () => {
  it('orders requests by priority, then as they came', () => {
    const { takeAll } = makeWaiting([
      ['a', 2],
      ['b', 1],
      ['c', 2],
      ['d', 0],
      ['e', 1],
    ]);
    expect(takeAll()).toEqual(['d', 'b', 'e', 'a', 'c']);
  });

  it('gives accounts of one priority turns, whoever came first', () => {
    const { takeAll } = makeWaiting([
      ['a1', 1, 'a'],
      ['a2', 1, 'a'],
      ['a3', 1, 'a'],
      ['b1', 1, 'b'],
      ['b2', 1, 'b'],
    ]);
    expect(takeAll()).toEqual(['a1', 'b1', 'a2', 'b2', 'a3']);
  });

  it('owes nothing to an account that did not wait', () => {
    const { waiting, takeAll } = makeWaiting(
      Array.from({ length: 6 }, (_, index) => [`a${index}`, 1, 'a'] as const),
    );
    for (let index = 0; index < 4; index++) {
      waiting.take(() => true);
    }
    for (const name of ['b0', 'b1', 'b2']) {
      waiting.add({ name, priority: 1, account: 'b' });
    }
    expect(takeAll()).toEqual(['b0', 'a4', 'b1', 'a5', 'b2']);
  });

  it('takes the first request that meets a condition', () => {
    const { waiting, takeAll } = makeWaiting([
      ['a', 1],
      ['b', 2],
    ]);
    expect(waiting.take(({ name }) => name === 'b')?.name).toBe('b');
    expect(waiting.take(({ name }) => name === 'b')).toBeUndefined();
    expect(takeAll()).toEqual(['a']);
  });

  it('tells how many requests remain before each that may be removed', () => {
    const { waiting, takeAll } = makeWaiting([
      ['a', 1],
      ['b', 1],
      ['c', 1],
      ['d', 1],
    ]);
    const seen: number[] = [];
    const removed = waiting.remove(({ name }, ahead) => {
      seen.push(ahead);
      return name === 'b' || ahead > 1;
    });
    expect(seen).toEqual([0, 1, 1, 2]);
    expect(removed.map(({ name }) => name)).toEqual(['b', 'd']);
    expect(takeAll()).toEqual(['a', 'c']);
    expect(waiting.size).toBe(0);
  });
});
