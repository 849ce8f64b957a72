import { describe, expect, it } from 'vitest';
import { PeerPositions } from '../../src/peers/peer-positions.js';

describe('PeerPositions', () => {
  it('needs no changes for a peer that has not reported', () => {
    const positions = new PeerPositions();
    positions.recordSent(['host-1'], { revision: 4 });
    expect(positions.lowest(['host-1']).revision).toBe(Infinity);
  });

  it('returns the lowest position of several peers', () => {
    const positions = new PeerPositions();
    positions.recordReported('host-1', { revision: 7 });
    positions.recordReported('host-2', { revision: 5 });
    positions.recordReported('host-3', { epoch: 1, revision: 1 });
    expect(positions.lowest(['host-1', 'host-2', 'host-3'])).toEqual({ revision: 5 });
  });

  // Guards against messages that grow for as long as one of their recipients is silent.
  it('does not send a change again to a peer that does not report to have it', () => {
    const positions = new PeerPositions();
    positions.recordReported('silent', { revision: 5 });
    positions.recordSent(['silent'], { revision: 6 });
    expect(positions.lowest(['silent'])).toEqual({ revision: 6 });
    positions.recordReported('silent', { revision: 8 });
    expect(positions.lowest(['silent'])).toEqual({ revision: 8 });
  });
});
