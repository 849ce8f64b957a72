import { FakeClock, MemoryFleetStore } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { requestFingerprint } from '../../src/suspects/request-fingerprint.js';
import { FleetView } from '../../src/index.js';
import type { UpdateSource } from '../../src/suspects/suspect-controller.js';
import { SuspectController } from '../../src/suspects/suspect-controller.js';
import type { TargetCrash } from '../../src/suspects/target-crash-detector.js';
import { captureEvents, makeExchange } from '../fixtures.js';

const BAD = makeExchange({ path: '/verdicts/bad' });
const FINGERPRINT = requestFingerprint(BAD);

function setUp() {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const told: UpdateSource[] = [];
  const duty = new SuspectController({
    clock,
    random: new SeededRandom(1),
    events: log,
    store: new MemoryFleetStore(clock),
    view: new FleetView(),
    hosts: () => 1,
    onUpdate: (source) => told.push(source),
  });
  return { clock, duty, events, told };
}

function endUnder(fingerprint: string, target: string): TargetCrash {
  const request = { fingerprint, requestId: 'request-1', route: 'verdicts', path: '/verdicts/bad' };
  return { target, requests: [request] };
}

describe('SuspectDuty', () => {
  it('turns a request away once three targets have ended under it', async () => {
    const { clock, duty, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      expect(await duty.mayRun(FINGERPRINT)).toBe(true);
      duty.recordCrash(endUnder(FINGERPRINT, target));
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
    expect(duty.findFingerprint(BAD)).toBeUndefined();
    duty.recordCrash(endUnder(FINGERPRINT, 'a'));
    expect(duty.findFingerprint({ ...BAD, requestId: 'another' })).toBe(FINGERPRINT);
    expect(duty.findFingerprint(makeExchange({ path: '/verdicts/good' }))).toBeUndefined();
    expect(duty.findFingerprint({ ...BAD, body: Buffer.from('x') })).toBeUndefined();
  });

  it('says that a request is let in again', async () => {
    const { duty, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      duty.recordCrash(endUnder(FINGERPRINT, target));
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
      duty.recordCrash(endUnder(`request-${index}`, `target-${index}`));
      await clock.advance(10);
    }
    expect(told.length).toBeLessThanOrEqual(10);
    expect(told.length).toBeGreaterThan(5);
  });

  it('has news of others passed on where it is of two ends or more', () => {
    const { duty, told } = setUp();
    const end = (target: string) => ({ target, ageMilliseconds: 0, responses: 0 });
    duty.merge([{ fingerprint: FINGERPRINT, crashes: [end('a')] }]);
    expect(told).toEqual([]);
    duty.merge([{ fingerprint: FINGERPRINT, crashes: [end('a'), end('b')] }]);
    expect(told).toEqual(['heard']);
  });
});
