import type { ConnectionCheck } from '@ferrylock/entry';
import type { Target, Verdict } from '@ferrylock/steering';
import { mayHaveRun } from '@ferrylock/steering';
import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom, silentLogger } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { SuspectWatch } from '../../src/suspects/suspect-watch.js';

const LOST = mayHaveRun('target-failed', 'closed');
const ANSWERED: Verdict = { kind: 'answered', status: 200 };
const IDS = ['entry-0', 'entry-1', 'entry-2'];

const request = (path = '/work', body?: Buffer) => ({
  request: { method: 'POST' },
  route: { host: 'desk' },
  path,
  account: { name: 'atec' },
  body,
});

type TriedTarget = Pick<Target, 'address' | 'leaving' | 'drained'>;

const target = (address: string, changes: Partial<TriedTarget> = {}): TriedTarget => ({
  address,
  leaving: false,
  drained: false,
  ...changes,
});

/** @param others - connections that other targets take */
function setUp(connection: ConnectionCheck = 'refused', others: ConnectionCheck = 'taken') {
  const clock = new FakeClock();
  const members = IDS.map((id) => ({ id }) as never);
  const watches = IDS.map(
    (id) =>
      new SuspectWatch({
        clock,
        logger: silentLogger,
        membership: { self: { id } as never, knownMembers: () => members },
        checkConnection: (address) =>
          Promise.resolve(address.startsWith('other') ? others : connection),
        otherTargets: () => ['other:1', 'other:2'],
        random: new SeededRandom(1),
      }),
  );
  const [one, other] = watches as [SuspectWatch, SuspectWatch];
  const end = async (watch: SuspectWatch, address: string, changes: Partial<TriedTarget> = {}) => {
    watch.recordVerdict(request(), target(address, changes), LOST);
    await clock.advance(100);
  };
  const exchange = (): void => {
    for (const from of watches) {
      for (const to of watches) {
        to.received({ fields: from.describe() as never });
      }
    }
  };
  return { clock, watches, one, other, end, exchange };
}

describe('SuspectWatch', () => {
  it('turns a request away everywhere under which three targets ended at different daemons', async () => {
    const { watches, one, other, end, exchange } = setUp();
    await end(one, 'a:1');
    await end(other, 'b:1');
    await end(other, 'c:1');
    exchange();
    expect(watches.map((watch) => watch.mayRun(request()))).toEqual([false, false, false]);
    expect(one.mayRun(request('/other'))).toBe(true);
    expect(one.mayRun(request('/work', Buffer.from('x')))).toBe(true);
    expect(one.mayRun(undefined)).toBe(true);
  });

  // Guards against accusing each request in flight when the daemon loses its ways to the targets.
  it.each(['refused', 'unknown'] as const)(
    'makes nothing of lost answers while no other target takes connections: %s',
    async (others) => {
      const { one, end } = setUp('refused', others);
      for (const address of ['a:1', 'b:1', 'c:1']) {
        await end(one, address);
      }
      expect(one.mayRun(request())).toBe(true);
    },
  );

  it.each([
    ['whose address still takes connections', 'taken', {}],
    ['that leaves', 'refused', { leaving: true }],
    ['that is drained', 'refused', { drained: true }],
  ] as const)(
    'makes nothing of a lost answer of a target %s',
    async (_case, connection, changes) => {
      const { one, end } = setUp(connection);
      for (const address of ['a:1', 'b:1', 'c:1', 'd:1']) {
        await end(one, address, changes);
      }
      expect(one.mayRun(request())).toBe(true);
    },
  );

  it('takes ends back for two answers', async () => {
    const { one, end } = setUp();
    for (const address of ['a:1', 'b:1', 'c:1']) {
      await end(one, address);
    }
    one.recordVerdict(request(), target('d:1'), ANSWERED);
    expect(one.mayRun(request())).toBe(false);
    one.recordVerdict(request(), target('d:1'), ANSWERED);
    expect(one.mayRun(request())).toBe(true);
  });

  it('is tried once more by one daemon, and let in by all where that is answered', async () => {
    const { clock, watches, one, end, exchange } = setUp();
    for (const address of ['a:1', 'b:1', 'c:1']) {
      await end(one, address);
    }
    exchange();
    await clock.advance(10_000);
    const tried = watches.filter((watch) => watch.mayRun(request()));
    expect(tried).toHaveLength(1);
    expect(watches.some((watch) => watch.mayRun(request()))).toBe(false);
    tried[0]?.recordVerdict(request(), target('d:1'), ANSWERED);
    exchange();
    expect(watches.every((watch) => watch.mayRun(request()))).toBe(true);
  });

  it('tells nothing at rest, and takes no message that makes no sense', () => {
    const { one } = setUp();
    expect(one.describe()).toEqual({ suspects: '' });
    one.received({ fields: { suspects: 'x\ty\tz\n\n\t\t' } as never });
    expect(one.mayRun(request())).toBe(true);
  });
});
