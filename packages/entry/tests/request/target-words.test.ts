import { FakeClock, makeTargetRecord } from '@ferrylock/test-utils';
import { TargetState } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import type { EntryEvent } from '../../src/index.js';
import { EventLog } from '../../src/index.js';
import { TargetWords } from '../../src/request/target-words.js';

const SERVICE = { name: 'verdict-api' };

function makeWords() {
  const clock = new FakeClock();
  const lines: Pick<EntryEvent, 'event'>[] = [];
  const info = (event: string, fields: object): void => {
    lines.push({ event, ...fields } as EntryEvent);
  };
  const logger = { info, warn: info, error: info };
  const words = new TargetWords({ clock, events: new EventLog(logger as never) });
  const target = new TargetState(makeTargetRecord({ bornAt: 1 }), 0);
  return { clock, words, target, lines };
}

describe('TargetWords', () => {
  it('counts a rest once until its end, and what is sent meanwhile', async () => {
    const { clock, words, target, lines } = makeWords();
    words.recordSend(target);
    words.take(SERVICE, target, { isLeaving: false, restMilliseconds: 3_000 });
    words.take(SERVICE, target, { isLeaving: false, restMilliseconds: 3_000 });
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([
      { event: 'target', target: 'target-1', start: target.start, state: 'resting' },
    ]);
    await clock.advance(3_000);
    words.recordSend(target);
    words.take(SERVICE, target, { isLeaving: false, restMilliseconds: 400 });
    expect([words.rests, words.unwantedSends]).toEqual([2, 1]);
    expect(lines).toHaveLength(1);
  });

  it('writes once that a target leaves, and counts what is sent there afterwards', () => {
    const { words, target, lines } = makeWords();
    words.take(SERVICE, target, { isLeaving: true, restMilliseconds: undefined });
    words.take(SERVICE, target, { isLeaving: true, restMilliseconds: undefined });
    words.recordSend(target);
    expect([words.leaving, words.unwantedSends]).toEqual([1, 1]);
    expect(lines).toMatchObject([{ event: 'target', state: 'leaving' }]);
  });

  it('writes that a rest could not be read, and makes nothing of it', () => {
    const { words, target, lines } = makeWords();
    words.take(SERVICE, target, { isLeaving: false, restMilliseconds: Number.NaN });
    words.recordSend(target);
    expect([words.rests, words.unwantedSends]).toEqual([0, 0]);
    expect(lines).toMatchObject([{ event: 'unreadable-answer', target: 'target-1' }]);
  });
});
