import { FakeClock, MemoryFleetStore } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { requestFingerprint } from '../../src/suspects/request-fingerprint.js';
import { FleetView } from '../../src/index.js';
import type { NewsSource } from '../../src/suspects/suspect-duty.js';
import { SuspectDuty } from '../../src/suspects/suspect-duty.js';
import type { TargetEnd } from '../../src/suspects/target-ends.js';
import { keepEvents, makeExchange } from '../fixtures.js';

const BAD = makeExchange({ path: '/verdicts/bad' });
const FINGERPRINT = requestFingerprint(BAD);

function setUp() {
  const clock = new FakeClock();
  const { log, events } = keepEvents();
  const told: NewsSource[] = [];
  const duty = new SuspectDuty({
    clock,
    random: new SeededRandom(1),
    events: log,
    store: new MemoryFleetStore(clock),
    view: new FleetView(),
    hosts: () => 1,
    onNews: (source) => told.push(source),
  });
  return { clock, duty, events, told };
}

function endUnder(fingerprint: string, target: string): TargetEnd {
  const request = { fingerprint, requestId: 'request-1', route: 'verdicts', path: '/verdicts/bad' };
  return { target, requests: [request] };
}

describe('SuspectDuty', () => {
  it('turns a request away once three targets have ended under it', async () => {
    const { clock, duty, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      expect(await duty.mayRun(FINGERPRINT)).toBe(true);
      duty.recordEnd(endUnder(FINGERPRINT, target));
    }
    const mayRun = duty.mayRun(FINGERPRINT);
    await clock.advance(1_000);
    expect(await mayRun).toBe(false);
    expect(events).toEqual([
      { event: 'suspect', fingerprint: FINGERPRINT, state: 'suspected', targets: ['a', 'b', 'c'] },
    ]);
  });

  it('finds a request that was at a target when it ended, under another id, and no other', () => {
    const { duty } = setUp();
    expect(duty.find(BAD)).toBeUndefined();
    duty.recordEnd(endUnder(FINGERPRINT, 'a'));
    expect(duty.find({ ...BAD, requestId: 'another' })).toBe(FINGERPRINT);
    expect(duty.find(makeExchange({ path: '/verdicts/good' }))).toBeUndefined();
    expect(duty.find({ ...BAD, body: Buffer.from('x') })).toBeUndefined();
  });

  it('says that a request is let in again', async () => {
    const { duty, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      duty.recordEnd(endUnder(FINGERPRINT, target));
    }
    duty.recordAnswer(FINGERPRINT);
    duty.recordAnswer(FINGERPRINT);
    duty.sweep();
    expect(await duty.mayRun(FINGERPRINT)).toBe(true);
    expect(events[1]).toMatchObject({ event: 'suspect', state: 'cleared' });
  });

  it('has others told out of turn ten times a second at most', async () => {
    const { clock, duty, told } = setUp();
    for (let index = 0; index < 100; index++) {
      duty.recordEnd(endUnder(`request-${index}`, `target-${index}`));
      await clock.advance(10);
    }
    expect(told.length).toBeLessThanOrEqual(10);
    expect(told.length).toBeGreaterThan(5);
  });

  it('has news of others passed on where it is of two ends or more', () => {
    const { duty, told } = setUp();
    const end = (target: string) => ({ target, ageMilliseconds: 0, answers: 0 });
    duty.take([{ fingerprint: FINGERPRINT, ends: [end('a')] }]);
    expect(told).toEqual([]);
    duty.take([{ fingerprint: FINGERPRINT, ends: [end('a'), end('b')] }]);
    expect(told).toEqual(['heard']);
  });
});
