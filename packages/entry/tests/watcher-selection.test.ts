import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../src/index.js';
import { WatcherSelection } from '../src/watcher-selection.js';
import { targetChange } from './fixtures.js';

const HOSTS = Array.from({ length: 20 }, (_, index) => `host-${index}`);

function makeDuties(relays: readonly string[]) {
  const clock = new FakeClock();
  const view = new FleetView();
  const duties = HOSTS.map(
    (ownName) =>
      new WatcherSelection({
        clock,
        view,
        ownName,
        isRelay: () => relays.includes(ownName),
        relayNames: () => relays,
        hostNames: () => HOSTS,
      }),
  );
  const needed = (): string[] => HOSTS.filter((_, index) => duties[index]?.isWatcher);
  return { clock, view, duties, needed };
}

describe('WatchDuty', () => {
  it('has every host ask that knows nothing', () => {
    expect(makeDuties([]).needed()).toEqual(HOSTS);
  });

  it('has three relays watch, the same ones by everybody’s reckoning', () => {
    const { clock, view, needed } = makeDuties(HOSTS.slice(4, 9));
    view.replace({ revision: 1 }, [targetChange(1)]);
    view.confirm({ revision: 1 }, clock.now());
    expect(needed()).toHaveLength(3);
    expect(HOSTS.slice(4, 9)).toEqual(expect.arrayContaining(needed()));
  });

  it('has the others ask, a few at a time, when nothing is confirmed any more', async () => {
    const { clock, view, needed } = makeDuties([]);
    view.replace({ revision: 1 }, [targetChange(1)]);
    view.confirm({ revision: 1 }, clock.now());
    await clock.advance(1_500);
    expect(needed()).toHaveLength(0);
    await clock.advance(61);
    expect(needed()).toHaveLength(3);
    await clock.advance(240);
    expect(needed()).toEqual(HOSTS);
  });

  it('has those that watch read everything anew first, one after the other, and all others within a second', () => {
    const relays = HOSTS.slice(4, 9);
    const { clock, view, duties, needed } = makeDuties(relays);
    view.replace({ revision: 1 }, [targetChange(1)]);
    view.confirm({ revision: 1 }, clock.now());
    const watching = new Set(needed());
    const turns = duties.map(({ relistDelayMilliseconds: turnMilliseconds }, index) => ({
      isWatching: watching.has(HOSTS[index] ?? ''),
      turnMilliseconds,
    }));
    const turnsOf = (isWatching: boolean): number[] =>
      turns
        .filter((turn) => turn.isWatching === isWatching)
        .map(({ turnMilliseconds }) => turnMilliseconds)
        .sort((one, other) => one - other);
    expect(new Set(turnsOf(true)).size).toBe(3);
    expect(Math.max(...turnsOf(true))).toBeLessThan(Math.min(...turnsOf(false)));
    expect(Math.max(...turnsOf(false))).toBeLessThanOrEqual(1_000);
  });
});
