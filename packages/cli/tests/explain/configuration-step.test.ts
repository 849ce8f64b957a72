import { describe, expect, it } from 'vitest';
import { configurationStep } from '../../src/explain/configuration-step.js';

const KNOWLEDGE = {
  versionAgeMilliseconds: 9_000,
  heldVersion: 21,
  revision: 140,
  confirmedBy: 'frontend-buc-a-1',
  peerCalls: 4,
  failedPeerCalls: 0,
  eventLoopDelayMilliseconds: 3,
  hostAgeMilliseconds: 20_000,
};

function refusal(knowledge: object) {
  return {
    message: 'refused',
    host: 'frontend-iasi-a-5',
    timestamp: '2026-12-04T11:00:25.452Z',
    version: 21,
    milliseconds: 1,
    beliefAgeMilliseconds: 4_350,
    knowledge: { ...KNOWLEDGE, ...knowledge },
  };
}

describe('configurationStep', () => {
  it.each([
    [{}, 'heard of nothing newer, 4350 ms after frontend-buc-a-1 confirmed version 21'],
    [
      { missingRevision: 142, missingMilliseconds: 900, pendingCallMilliseconds: 600 },
      'heard of revision 142 for 900 ms, not fetched it, a peer has not answered for 600 ms',
    ],
    [
      { missingRevision: 142, missingMilliseconds: 900 },
      'heard of revision 142 for 900 ms, not fetched it',
    ],
    [{ heldVersion: 22 }, 'fetched version 22, not applied it'],
    [{ versionAgeMilliseconds: 0 }, 'applied version 21 after the request had come'],
  ])('tells how far a change had come: %o', (knowledge, step) => {
    expect(configurationStep(refusal(knowledge))).toBe(`${step}; event loop 3 ms behind`);
  });

  it('says nothing of other refusals and of lines of older releases', () => {
    expect(configurationStep({ ...refusal({}), knowledge: undefined })).toBeUndefined();
    expect(configurationStep({ ...refusal({}), message: 'try-failed' })).toBeUndefined();
  });
});
