import { afterEach, describe, expect, it } from 'vitest';
import type { FixtureOptions } from './daemon-fixture.js';
import { Fixture, send, until } from './daemon-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function start(options: FixtureOptions = {}): Promise<Fixture> {
  fixture = await Fixture.start({ repeat: 'never', daemons: 2, ...options });
  await until(
    () =>
      fixture?.daemons.every(
        (daemon) => daemon.components.membership.knownMembers().length === 2,
      ) ?? false,
  );
  return fixture;
}

function withKey(key: string): RequestInit {
  return { method: 'POST', body: 'reject', headers: { 'idempotency-key': key } };
}

describe('work that must not repeat', () => {
  it('needs a key', async () => {
    const running = await start();
    expect(await send(running.url(), { method: 'POST' })).toMatchObject({
      ran: 'no',
      reason: 'key-required',
    });
  });

  it.each([
    ['a text that is no key', 'order-17', 'bad-request'],
    ['a forged signature', undefined, 'not-permitted'],
  ])('is not run by %s', async (_name, text, reason) => {
    const running = await start();
    const key = text ?? (await running.key()).replace(/.$/, (last) => (last === 'A' ? 'B' : 'A'));
    expect(await send(running.url(), withKey(key))).toMatchObject({ ran: 'no', reason });
    expect(running.runs().total).toBe(0);
  });

  it.each([0, 1])('runs once when its key comes a second time, at entry host %i', async (other) => {
    const running = await start();
    const key = await running.key(0);
    expect((await send(running.url('/work', 0), withKey(key))).status).toBe(200);
    const again = await send(running.url('/work', other), withKey(key));
    expect(again).toMatchObject({ status: 409, ran: 'unknown', reason: 'key-used' });
    expect(running.runs()).toEqual({ total: 1, mostOfOneKey: 1 });
  });

  it('runs once when its key comes many times at once, at both entry hosts', async () => {
    const running = await start({ target: { serviceMilliseconds: () => 50 } });
    const key = await running.key(0);
    const all = await Promise.all(
      Array.from({ length: 20 }, (_, index) => send(running.url('/work', index % 2), withKey(key))),
    );
    expect(all.filter((seen) => seen.status === 200)).toHaveLength(1);
    expect(all.filter((seen) => seen.ran === 'no')).toHaveLength(0);
    expect(running.runs().mostOfOneKey).toBe(1);
  });

  it('is passed on by another entry host to the one that gave the key out', async () => {
    const running = await start();
    const key = await running.key(1);
    expect((await send(running.url('/work', 0), withKey(key))).status).toBe(200);
    expect(running.runs().mostOfOneKey).toBe(1);
  });

  it('is never run once the process that gave the key out is gone', async () => {
    const running = await start();
    const key = await running.key(1);
    await running.daemons[1]?.kill();
    running.daemons.splice(1, 1);
    const seen = await send(running.url('/work', 0), withKey(key));
    expect(seen).toMatchObject({ status: 409, ran: 'unknown', reason: 'key-holder-gone' });
    expect(running.runs().total).toBe(0);
  });

  it('may be sent again with the same key after it was certainly not run', async () => {
    const running = await start();
    running.target.behaviour = 'shed';
    const key = await running.key();
    expect(await send(running.url(), withKey(key))).toMatchObject({
      ran: 'no',
      reason: 'target-shed',
    });
    running.target.behaviour = 'answer';
    expect((await send(running.url(), withKey(key))).status).toBe(200);
    expect(running.runs()).toEqual({ total: 1, mostOfOneKey: 1 });
  });

  it('is not run again after an outcome that is not known', async () => {
    const running = await start();
    running.target.behaviour = 'resetAfterReading';
    const key = await running.key();
    expect(await send(running.url(), withKey(key))).toMatchObject({ ran: 'unknown' });
    running.target.behaviour = 'answer';
    expect(await send(running.url(), withKey(key))).toMatchObject({
      ran: 'unknown',
      reason: 'key-used',
    });
    expect(running.runs().mostOfOneKey).toBe(1);
  });
});
