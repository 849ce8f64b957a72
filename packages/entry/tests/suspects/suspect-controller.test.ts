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
  const updates: UpdateSource[] = [];
  const controller = new SuspectController({
    clock,
    random: new SeededRandom(1),
    events: log,
    store: new MemoryFleetStore(clock),
    view: new FleetView(),
    hosts: () => 1,
    onUpdate: (source) => updates.push(source),
  });
  return { clock, controller, events, updates };
}

function crashUnder(fingerprint: string, target: string): TargetCrash {
  const request = { fingerprint, requestId: 'request-1', route: 'verdicts', path: '/verdicts/bad' };
  return { target, requests: [request] };
}

describe('SuspectController', () => {
  it('refuses a request once it has crashed three targets', async () => {
    const { clock, controller, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      expect(await controller.mayRun(FINGERPRINT)).toBe(true);
      controller.recordCrash(crashUnder(FINGERPRINT, target));
    }
    const mayRun = controller.mayRun(FINGERPRINT);
    await clock.advance(1_000);
    expect(await mayRun).toBe(false);
    expect(events).toEqual([
      { event: 'suspect', fingerprint: FINGERPRINT, state: 'suspected', targets: ['a', 'b', 'c'] },
    ]);
  });

  it('finds a repetition of a request that a target had when it crashed, and no other', () => {
    const { controller } = setUp();
    expect(controller.findFingerprint(BAD)).toBeUndefined();
    controller.recordCrash(crashUnder(FINGERPRINT, 'a'));
    expect(controller.findFingerprint({ ...BAD, requestId: 'another' })).toBe(FINGERPRINT);
    expect(controller.findFingerprint(makeExchange({ path: '/verdicts/good' }))).toBeUndefined();
    expect(controller.findFingerprint({ ...BAD, body: Buffer.from('x') })).toBeUndefined();
  });

  it('logs that a request is cleared', async () => {
    const { controller, events } = setUp();
    for (const target of ['a', 'b', 'c']) {
      controller.recordCrash(crashUnder(FINGERPRINT, target));
    }
    controller.recordAnswer(FINGERPRINT);
    controller.recordAnswer(FINGERPRINT);
    controller.sweep();
    expect(await controller.mayRun(FINGERPRINT)).toBe(true);
    expect(events[1]).toMatchObject({ event: 'suspect', state: 'cleared' });
  });

  it('requests at most ten immediate reports per second', async () => {
    const { clock, controller, updates } = setUp();
    for (let index = 0; index < 100; index++) {
      controller.recordCrash(crashUnder(`request-${index}`, `target-${index}`));
      await clock.advance(10);
    }
    expect(updates.length).toBeLessThanOrEqual(10);
    expect(updates.length).toBeGreaterThan(5);
  });

  it('forwards reports of other hosts from two crashes on', () => {
    const { controller, updates } = setUp();
    const crash = (target: string) => ({ target, ageMilliseconds: 0, responses: 0 });
    controller.merge([{ fingerprint: FINGERPRINT, crashes: [crash('a')] }]);
    expect(updates).toEqual([]);
    controller.merge([{ fingerprint: FINGERPRINT, crashes: [crash('a'), crash('b')] }]);
    expect(updates).toEqual(['heard']);
  });
});
