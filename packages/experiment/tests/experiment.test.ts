import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import type { Mechanism } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import { compare, differences, Experiment, spreadOf } from '../src/index.js';
import type { Play, Scenario } from '../src/index.js';
import { makeScenario } from './fixtures.js';

function play(scenario: Scenario, without: readonly Mechanism[] = [], seed = 1): Play {
  return new Experiment({ scenario, seed, disabledMechanisms: new Set(without) }).play();
}

describe('Experiment', () => {
  it('comes to the same on the same seed, and to something else on another', () => {
    expect(play(makeScenario())).toEqual(play(makeScenario()));
    expect(play(makeScenario(), [], 2)).not.toEqual(play(makeScenario()));
  });

  it('serves nearly all at ordinary load, on objects that targets come to know', () => {
    const { outcome } = play(makeScenario());
    expect(outcome.served).toBeGreaterThan(0.99);
    expect(outcome.knownShare).toBeGreaterThan(0.85);
    expect(outcome.betweenRegions).toBeLessThan(0.1);
  });

  it('sends more between regions without keys at home', () => {
    const { outcome } = play(makeScenario(), ['keys-at-home']);
    expect(outcome.betweenRegions).toBeGreaterThan(0.3);
  });

  it.each([
    ['a burst', 'kind = burst\nfactor = 6'],
    ['shedding targets', 'kind = shedding\nfactor = 0.9'],
    ['slow targets', 'kind = slow\nfactor = 10\nshare = 0.7'],
    ['lost targets', 'kind = lost\nregion = north'],
  ])('earns less with %s', (_name, event) => {
    const troubled = makeScenario(`[events.a]\natSeconds = 2\nforSeconds = 2\n${event}`);
    expect(play(troubled).outcome.worth).toBeLessThan(play(makeScenario()).outcome.worth);
  });

  it('sends nothing to a region that is being emptied', () => {
    const emptied = 'kind = evacuation\nregion = north\natSeconds = 0\nforSeconds = 10';
    const { outcome } = play(makeScenario(`[events.a]\n${emptied}`));
    expect(outcome.betweenRegions).toBeGreaterThan(0.4);
    expect(outcome.served).toBeGreaterThan(0.8);
  });

  it('goes on after hosts lost all that they had learned', () => {
    const restart = 'kind = host-restart\natSeconds = 2';
    const { outcome } = play(makeScenario(`[events.a]\n${restart}`));
    expect(outcome.served).toBeGreaterThan(0.98);
  });

  it('learns again what targets lost that were away', () => {
    const away = 'kind = cold-return\nregion = north\natSeconds = 2\nforSeconds = 1';
    const { outcome } = play(makeScenario(`[events.a]\n${away}`));
    expect(outcome.knownShare).toBeLessThan(play(makeScenario()).outcome.knownShare);
    expect(outcome.served).toBeGreaterThan(0.9);
  });
});

describe('compare', () => {
  it('pairs the plays of each way by their seed', () => {
    const comparison = compare({
      scenario: makeScenario(),
      disabledMechanisms: new Set<Mechanism>(['keys-at-home']),
      seeds: 2,
    });
    const [whole, without] = comparison.ways;
    expect(comparison.ways.map((way) => way.without)).toEqual([undefined, 'keys-at-home']);
    if (whole === undefined || without === undefined) {
      throw new Error('expected two ways');
    }
    expect(whole.plays).toEqual([1, 2].map((seed) => play(makeScenario(), [], seed)));
    const far = differences(without, whole, ({ betweenRegions }) => betweenRegions);
    expect(spreadOf(far).least).toBeGreaterThan(0.2);
    expect(NO_DISABLED_MECHANISMS.size).toBe(0);
  });
});
