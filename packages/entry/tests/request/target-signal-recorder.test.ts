import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { TargetState } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import type { EntryEvent } from '../../src/index.js';
import { EventLog } from '../../src/index.js';
import { TargetSignalRecorder } from '../../src/request/target-signal-recorder.js';

const SERVICE = { name: 'verdict-api' };
const NO_SIGNALS = {
  isLeaving: false,
  restMilliseconds: undefined,
  limitPerSecond: undefined,
  unknownHeaders: [],
};

function makeRecorder() {
  const clock = new FakeClock();
  const limited: string[] = [];
  const lines: Pick<EntryEvent, 'event'>[] = [];
  const info = (event: string, fields: object): void => {
    lines.push({ event, ...fields } as EntryEvent);
  };
  const logger = { info, warn: info, error: info };
  const recorder = new TargetSignalRecorder({
    clock,
    events: new EventLog(logger as never),
    onLimitChange: ({ id }) => {
      limited.push(id);
    },
  });
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  return { clock, recorder, target, lines, limited };
}

describe('TargetSignalRecorder', () => {
  it('counts a rest once until its end, and the requests sent meanwhile', async () => {
    const { clock, recorder, target, lines } = makeRecorder();
    recorder.recordSend(target);
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: false, restMilliseconds: 3_000 },
      0,
    );
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: false, restMilliseconds: 3_000 },
      0,
    );
    recorder.recordSend(target);
    expect([recorder.rests, recorder.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([
      { event: 'target', target: 'target-1', start: target.incarnationId, state: 'resting' },
    ]);
    await clock.advance(3_000);
    recorder.recordSend(target);
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: false, restMilliseconds: 400 },
      0,
    );
    expect([recorder.rests, recorder.unwantedSends]).toEqual([2, 1]);
    expect(lines).toHaveLength(1);
  });

  it('logs a shutdown once and counts the requests sent afterwards', () => {
    const { recorder, target, lines } = makeRecorder();
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: true, restMilliseconds: undefined },
      0,
    );
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: true, restMilliseconds: undefined },
      0,
    );
    recorder.recordSend(target);
    expect([recorder.leaving, recorder.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([{ event: 'target', state: 'leaving' }]);
  });

  it('logs and ignores an invalid rest', () => {
    const { recorder, target, lines } = makeRecorder();
    recorder.recordResponse(
      SERVICE,
      target,
      { ...NO_SIGNALS, isLeaving: false, restMilliseconds: Number.NaN },
      0,
    );
    recorder.recordSend(target);
    expect([recorder.rests, recorder.unwantedSends]).toEqual([0, 0]);
    expect(lines).toMatchObject([{ event: 'unreadable-answer', target: 'target-1' }]);
  });

  it('logs each change of a limit and counts the requests sent meanwhile', () => {
    const { recorder, target, lines, limited } = makeRecorder();
    recorder.recordSend(target);
    for (const limitPerSecond of [2.5, 2.5, 4, undefined]) {
      recorder.recordResponse(SERVICE, target, { ...NO_SIGNALS, limitPerSecond }, 0);
      recorder.recordSend(target);
    }
    expect([recorder.limits, recorder.limitedSends]).toEqual([2, 3]);
    expect(limited).toHaveLength(3);
    expect(lines).toMatchObject([
      { state: 'limited', detail: 'takes 2.5 requests a second', start: target.incarnationId },
      { state: 'limited', detail: 'takes 4 requests a second' },
      { state: 'unlimited' },
    ]);
  });

  it('keeps the current limit if a new one is invalid', () => {
    const { recorder, target, lines } = makeRecorder();
    recorder.recordResponse(SERVICE, target, { ...NO_SIGNALS, limitPerSecond: 2.5 }, 0);
    recorder.recordResponse(SERVICE, target, { ...NO_SIGNALS, limitPerSecond: Number.NaN }, 0);
    expect(target.signals.limit.perSecond).toBe(2.5);
    expect(lines.at(-1)).toMatchObject({ event: 'unreadable-answer', target: 'target-1' });
  });

  it('logs the name of an unknown header once, and only a few of them', () => {
    const { recorder, target, lines } = makeRecorder();
    const names = Array.from({ length: 100 }, (_, index) => `server-${index}-${'x'.repeat(200)}`);
    recorder.recordResponse(SERVICE, target, { ...NO_SIGNALS, unknownHeaders: names }, 0);
    recorder.recordResponse(SERVICE, target, { ...NO_SIGNALS, unknownHeaders: names }, 0);
    expect(lines).toHaveLength(32);
    expect(lines[0]).toEqual({
      event: 'unknown-header',
      target: 'target-1',
      service: 'verdict-api',
      header: names[0]?.slice(0, 64),
    });
  });
});
