import type { Route } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import { statusOf } from '../../src/request/refusal.js';
import { RequestProgress } from '../../src/request/request-progress.js';
import type { SendVerdict } from '../../src/request/target-send.js';

const METADATA = {
  requestId: 'request-1',
  isNotRun: false,
  isOtherTarget: false,
  isSigned: true,
  load: undefined,
  coldMilliseconds: undefined,
  isLeaving: false,
  restMilliseconds: undefined,
};

function answered(status: number): SendVerdict {
  return {
    kind: 'answered',
    response: { status, headers: {}, body: Buffer.alloc(0), isDelimited: true },
    metadata: METADATA,
  };
}

const refused: SendVerdict = { kind: 'not-run', reason: 'target-refused', detail: 'full' };
const unreachable: SendVerdict = { kind: 'not-run', reason: 'connect-failed', detail: 'refused' };
const brokenSend: SendVerdict = { kind: 'unknown', reason: 'target-failed', detail: 'reset' };

function makeProgress(kind: Route['kind'], mostAttempts = 2): RequestProgress {
  return new RequestProgress({ kind, mostAttempts });
}

function statusAfter(progress: RequestProgress): number {
  const { outcome } = progress;
  return 'reason' in outcome ? statusOf(outcome) : outcome.status;
}

describe('RequestProgress', () => {
  it.each([
    ['once', refused, 'try-again-if-allowed'],
    ['once', unreachable, 'try-again'],
    ['once', brokenSend, 'give-up'],
    ['once', answered(500), 'deliver'],
    ['upload', brokenSend, 'give-up'],
    ['repeatable', brokenSend, 'try-again-if-allowed'],
    ['repeatable', answered(500), 'try-again-if-allowed'],
    ['repeatable', answered(404), 'deliver'],
    ['repeatable', answered(200), 'deliver'],
  ] as const)('a %s request with verdict %o leads to %s', (kind, verdict, next) => {
    expect(makeProgress(kind).recordVerdict(verdict)).toBe(next);
  });

  it('limits attempts to those that the route allows', () => {
    const progress = makeProgress('repeatable', 2);
    expect(progress.recordVerdict(refused)).toBe('try-again-if-allowed');
    expect(progress.recordVerdict(refused)).toBe('give-up');
  });

  it('does not count unreachable targets as attempts, but limits them', () => {
    const progress = makeProgress('once', 2);
    expect(progress.recordVerdict(unreachable)).toBe('try-again');
    expect(progress.recordVerdict(unreachable)).toBe('try-again');
    expect(progress.recordVerdict(unreachable)).toBe('give-up');
    expect(progress.attempts).toBe(0);
    expect(statusAfter(progress)).toBe(503);
  });

  it('never claims that a request has not run once it may have', () => {
    const progress = makeProgress('repeatable', 3);
    progress.recordVerdict(brokenSend);
    progress.recordVerdict(refused);
    const { outcome } = progress;
    expect(outcome).toMatchObject({ ran: 'unknown' });
    expect(statusAfter(progress)).toBe(502);
  });

  it.each([
    ['nothing was sent', undefined, 503, 'no'],
    ['a target refused it', refused, 503, 'no'],
    ['a send broke', brokenSend, 504, 'unknown'],
    ['a send was in flight', { kind: 'ended', cause: 'deadline', wasSent: true }, 504, 'unknown'],
    ['a send was queued', { kind: 'ended', cause: 'deadline', wasSent: false }, 503, 'no'],
  ] as const)(
    'reports at the deadline whether the request may have run if %s',
    (_case, verdict, status, ran) => {
      const progress = makeProgress('repeatable');
      if (verdict !== undefined) {
        progress.recordVerdict(verdict);
      }
      progress.cancelledBy = 'deadline';
      expect(progress.outcome).toMatchObject({ ran });
      expect(statusAfter(progress)).toBe(status);
    },
  );

  it('returns the server error of a target if no other target succeeds', () => {
    const progress = makeProgress('repeatable');
    progress.recordVerdict(answered(500));
    progress.recordVerdict(refused);
    expect(statusAfter(progress)).toBe(500);
  });

  it('reports a suspect as not run if it is rejected before its first send', () => {
    const progress = makeProgress('repeatable');
    progress.rejectSuspect();
    expect(progress.outcome).toMatchObject({ reason: 'targets-end', ran: 'no' });
    expect(statusAfter(progress)).toBe(503);
  });

  it('does not report a suspect as not run if it is rejected after a target failed', () => {
    const progress = makeProgress('repeatable', 3);
    progress.recordVerdict(brokenSend);
    progress.rejectSuspect();
    expect(progress.outcome).toMatchObject({ reason: 'target-failed', ran: 'unknown' });
    expect(statusAfter(progress)).toBe(502);
  });
});
