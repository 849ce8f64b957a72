import { FakeClock } from '@ferrylock/test-utils';
import { expect, it } from 'vitest';
import { DatagramCounts } from '../../src/peers/datagram-counts.js';
import { captureEvents } from '../fixtures.js';

it('counts each failed send and logs one per second', async () => {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const counts = new DatagramCounts(clock, log);
  counts.recordSend(70_000);
  counts.recordFailure('10.0.0.1:1', 70_000, 'EMSGSIZE');
  counts.recordSend(500);
  counts.recordFailure('10.0.0.2:1', 500, 'EHOSTUNREACH');
  expect(counts).toMatchObject({ sent: 2, sentBytes: 70_500, largestBytes: 70_000, failed: 2 });
  expect(events).toMatchObject([{ event: 'send-failed', bytes: 70_000, failed: 1 }]);
  await clock.advance(1_000);
  counts.recordFailure('10.0.0.1:1', 70_000, 'EMSGSIZE');
  expect(events.at(-1)).toMatchObject({ event: 'send-failed', failed: 3 });
});
