import { FakeClock, makeRoute } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import { ServiceChoice } from '../../src/request/service-choice.js';
import { SplitMetrics } from '../../src/request/split-metrics.js';
import {
  captureEvents,
  configurationChange,
  makeExchange,
  makeRoutingState,
  targetChange,
} from '../fixtures.js';

const HANDOVER = {
  from: 'host-2',
  fromIncarnation: 'first',
  toIncarnation: 'first',
  milliseconds: 900,
  attempts: 0,
  service: 'sorter-gate',
};

it('chooses by weight, counts callers’ own requests, and forgets routes that are gone', () => {
  const view = new FleetView();
  const state = makeRoutingState(new FakeClock(), view, captureEvents().log);
  const splits = new SplitMetrics();
  const services = new ServiceChoice({ ownName: 'host-1', state, metrics: { splits } });
  view.replace({ epoch: 0, revision: 3 }, [
    targetChange(1),
    targetChange(2, { id: 'target-2', service: 'sorter-gate' }),
  ]);
  const shares = [
    { service: 'verdict-api', weight: 50 },
    { service: 'sorter-gate', weight: 50 },
  ];
  const route = makeRoute({ shares });
  for (let request = 0; request < 40; request++) {
    services.choose(makeExchange({ route }));
  }
  const counts = splits.rows.map(({ count }) => count);
  expect(counts).toHaveLength(2);
  expect(counts.reduce((sum, count) => sum + count, 0)).toBe(40);
  expect(Math.max(...counts)).toBeLessThanOrEqual(22);
  const handedOver = services.choose(makeExchange({ route, handover: HANDOVER }));
  expect(handedOver?.name).toBe('sorter-gate');
  expect(splits.rows.map(({ count }) => count)).toEqual(counts);
  const routes = [makeRoute({ name: 'another' })];
  view.replace({ epoch: 0, revision: 4 }, [configurationChange(4, { routes })]);
  expect(splits.rows).toEqual([]);
});
