import { describe, expect, it } from 'vitest';
import { SplitBalance } from '../src/split-balance.js';

/** Sends requests that all prefer one service; returns the services that got them. */
function send(balance: SplitBalance, preferred: string, requests: number): string[] {
  return Array.from({ length: requests }, () => {
    const service = balance.choose(preferred);
    balance.record(service);
    return service;
  });
}

describe('SplitBalance', () => {
  it('keeps to the weights from the first requests on', () => {
    const balance = new SplitBalance([
      { service: 'a', weight: 50 },
      { service: 'b', weight: 50 },
    ]);
    const sent = send(balance, 'a', 12);
    expect(sent.filter((service) => service === 'a').length).toBeLessThanOrEqual(8);
    expect(sent.slice(0, 2)).toEqual(['a', 'a']);
  });

  it('sends to the service furthest below its weight instead', () => {
    const balance = new SplitBalance([
      { service: 'a', weight: 20 },
      { service: 'b', weight: 10 },
      { service: 'c', weight: 70 },
    ]);
    expect(send(balance, 'a', 4)).toEqual(['a', 'c', 'a', 'c']);
  });

  it('follows preferences that match the weights', () => {
    const balance = new SplitBalance([
      { service: 'a', weight: 50 },
      { service: 'b', weight: 50 },
    ]);
    const wanted = Array.from({ length: 100 }, (_, request) => (request % 2 === 0 ? 'a' : 'b'));
    expect(wanted.flatMap((service) => send(balance, service, 1))).toEqual(wanted);
  });
});
