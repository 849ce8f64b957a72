import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { TargetState } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import type { EntryEvent } from '../../src/index.js';
import { EventLog } from '../../src/index.js';
import { TargetSignalRecorder } from '../../src/request/target-signal-recorder.js';

const SERVICE = { name: 'verdict-api' };
const SAYS_NOTHING = {
  isLeaving: false,
  restMilliseconds: undefined,
  limitPerSecond: undefined,
  unknownHeaders: [],
};

function makeWords() {
  const clock = new FakeClock();
  const limited: string[] = [];
  const lines: Pick<EntryEvent, 'event'>[] = [];
  const info = (event: string, fields: object): void => {
    lines.push({ event, ...fields } as EntryEvent);
  };
  const logger = { info, warn: info, error: info };
  const words = new TargetSignalRecorder({
    clock,
    events: new EventLog(logger as never),
    onLimitChange: ({ id }) => {
      limited.push(id);
    },
  });
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  return { clock, words, target, lines, limited };
}

describe('TargetWords', () => {
  it('counts a rest once until its end, and what is sent meanwhile', async () => {
    const { clock, words, target, lines } = makeWords();
    words.recordSend(target);
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: false, restMilliseconds: 3_000 },
      0,
    );
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: false, restMilliseconds: 3_000 },
      0,
    );
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([
      { event: 'target', target: 'target-1', start: target.incarnationId, state: 'resting' },
    ]);
    await clock.advance(3_000);
    words.recordSend(target);
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: false, restMilliseconds: 400 },
      0,
    );
    expect([words.rests, words.unwantedSends]).toEqual([2, 1]);
    expect(lines).toHaveLength(1);
  });

  it('writes once that a target leaves, and counts what is sent there afterwards', () => {
    const { words, target, lines } = makeWords();
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: true, restMilliseconds: undefined },
      0,
    );
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: true, restMilliseconds: undefined },
      0,
    );
    words.recordSend(target);
    expect([words.leaving, words.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([{ event: 'target', state: 'leaving' }]);
  });

  it('writes that a rest could not be read, and makes nothing of it', () => {
    const { words, target, lines } = makeWords();
    words.recordResponse(
      SERVICE,
      target,
      { ...SAYS_NOTHING, isLeaving: false, restMilliseconds: Number.NaN },
      0,
    );
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([0, 0]);
    expect(lines).toMatchObject([{ event: 'unreadable-answer', target: 'target-1' }]);
  });

  it('writes when a target names a limit, and another one or none, and counts what is sent meanwhile', () => {
    const { words, target, lines, limited } = makeWords();
    words.recordSend(target);
    for (const limitPerSecond of [2.5, 2.5, 4, undefined]) {
      words.recordResponse(SERVICE, target, { ...SAYS_NOTHING, limitPerSecond }, 0);
      words.recordSend(target);
    }
    expect([words.limits, words.limitedSends]).toEqual([2, 3]);
    expect(limited).toHaveLength(3);
    expect(lines).toMatchObject([
      { state: 'limited', detail: 'takes 2.5 requests a second', start: target.incarnationId },
      { state: 'limited', detail: 'takes 4 requests a second' },
      { state: 'unlimited' },
    ]);
  });

  it('keeps the limit that it has where another one could not be read', () => {
    const { words, target, lines } = makeWords();
    words.recordResponse(SERVICE, target, { ...SAYS_NOTHING, limitPerSecond: 2.5 }, 0);
    words.recordResponse(SERVICE, target, { ...SAYS_NOTHING, limitPerSecond: Number.NaN }, 0);
    expect(target.signals.limit.perSecond).toBe(2.5);
    expect(lines.at(-1)).toMatchObject({ event: 'unreadable-answer', target: 'target-1' });
  });

  it('writes the name of a header that it does not know, once for each and for few', () => {
    const { words, target, lines } = makeWords();
    const names = Array.from({ length: 100 }, (_, index) => `server-${index}-${'x'.repeat(200)}`);
    words.recordResponse(SERVICE, target, { ...SAYS_NOTHING, unknownHeaders: names }, 0);
    words.recordResponse(SERVICE, target, { ...SAYS_NOTHING, unknownHeaders: names }, 0);
    expect(lines).toHaveLength(32);
    expect(lines[0]).toEqual({
      event: 'unknown-header',
      target: 'target-1',
      service: 'verdict-api',
      header: names[0]?.slice(0, 64),
    });
  });
});
