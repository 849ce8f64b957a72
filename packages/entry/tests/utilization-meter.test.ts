import { expect, test } from 'vitest';
import { UtilizationMeter } from '../src/utilization-meter.js';

function makeMeter() {
  const times = { idle: 0, active: 0 };
  const meter = new UtilizationMeter(() => ({ ...times }));
  const run = (idle: number, active: number, samples: number): void => {
    for (let sample = 0; sample < samples; sample++) {
      times.idle += idle;
      times.active += active;
      meter.sample();
    }
  };
  return { meter, run };
}

test('converges to the fraction of active time', () => {
  const { meter, run } = makeMeter();
  run(75, 25, 40);
  expect(meter.utilization).toBeCloseTo(0.25, 2);
});

test('follows a change within a second of samples', () => {
  const { meter, run } = makeMeter();
  run(100, 0, 40);
  run(0, 100, 10);
  expect(meter.utilization).toBeGreaterThan(0.75);
});

test('ignores a sample without elapsed time', () => {
  const { meter, run } = makeMeter();
  run(50, 50, 40);
  run(0, 0, 5);
  expect(meter.utilization).toBeCloseTo(0.5, 2);
});
