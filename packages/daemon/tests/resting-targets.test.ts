/**
 * The incident of `packages/entry/tests/words/resting-targets.test.ts` at `ferrylockd`, with real connections: targets that
 * shed and say for how long they want no more. Callers wait for each answer, so that nothing is on its way when the
 * daemon has a target's word.
 */
import type { TargetStandIn } from '@ferrylock/test-utils';
import { afterEach, describe, expect, it } from 'vitest';
import type { FixtureOptions } from './daemon-fixture.js';
import { Fixture, send, until } from './daemon-fixture.js';

/** Longer than any of these tests runs. */
const LONG_REST_SECONDS = '600';
const CALLS = 40;
const PAUSE_MILLISECONDS = 20;
/** Shorter than the time after which a probe is given up. */
const PROBE_MILLISECONDS = 400;
/** Rounds of probes, which are a second apart. */
const PROBES = 2;

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function start(options: FixtureOptions): Promise<Fixture> {
  fixture = await Fixture.start(options);
  return fixture;
}

async function sendAll(running: Fixture): Promise<number[]> {
  const statuses: number[] = [];
  for (let call = 0; call < CALLS; call++) {
    statuses.push((await send(running.url())).status);
  }
  return statuses;
}

function rest(target: TargetStandIn | undefined, seconds = LONG_REST_SECONDS): void {
  Object.assign(target ?? {}, { behaviour: 'shed', rest: seconds });
}

describe('a target that says that it leaves', () => {
  it('leaves also by a probe that was under way before and says nothing of it', async () => {
    const running = await start({ targets: 2, service: { probePath: '/health' } });
    const [leaving] = running.targets;
    Object.assign(leaving ?? {}, { probeMilliseconds: PROBE_MILLISECONDS });
    await sendAll(running);
    const before = leaving?.probes ?? 0;
    await until(() => (leaving?.probes ?? 0) > before);
    Object.assign(leaving ?? {}, { leaving: true });
    await sendAll(running);
    const target = running.daemon.components.directory.allServices()[0]?.targets.get('t0');
    expect(target?.leaving).toBe(true);
    await new Promise((resolve) => setTimeout(resolve, PROBE_MILLISECONDS));
    expect(target?.leaving).toBe(true);
  });
});

describe('a target that sheds and asks for rest', () => {
  it('gets nothing more from the daemon that it asked, and others serve its callers', async () => {
    const running = await start({ targets: 2 });
    const [resting] = running.targets;
    rest(resting);
    expect(await sendAll(running)).toEqual(new Array(CALLS).fill(200));
    expect(resting?.timesMet).toBe(1);
    const { control } = running.daemon.addresses;
    const text = await (await fetch(`http://${control}/metrics`)).text();
    expect(text).toContain('ferrylock_rests_total 1\n');
    expect(text).toContain('ferrylock_unwanted_sends_total 0\n');
    expect(text).toMatch(/^ferrylock_target_rest_seconds\{.*target="t0"\} \d+/m);
  });

  it('comes back once its rest is over', async () => {
    const running = await start({ targets: 1 });
    rest(running.target, '0.3');
    expect((await send(running.url())).status).toBe(503);
    running.target.behaviour = 'answer';
    while ((await send(running.url())).status !== 200) {
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MILLISECONDS));
    }
    expect(running.target.requests).toBe(1);
  });

  it('is not probed meanwhile', async () => {
    const running = await start({ targets: 2, service: { probePath: '/health' } });
    const [resting, other] = running.targets;
    await sendAll(running);
    await until(() => (resting?.probes ?? 0) > 0);
    rest(resting);
    await sendAll(running);
    expect(resting?.timesMet).toBeGreaterThan(0);
    const [atRest, atOther] = [resting?.probes ?? 0, other?.probes ?? 0];
    await until(() => (other?.probes ?? 0) >= atOther + PROBES + 1);
    // One may have been under way.
    expect(resting?.probes).toBeLessThanOrEqual(atRest + 1);
  });

  it('refuses a caller at once where all rest, truly, with the time when one will take work', async () => {
    const running = await start({ targets: 2 });
    running.targets.forEach((target) => {
      rest(target);
    });
    await sendAll(running);
    const answer = await fetch(running.url());
    const problem = (await answer.json()) as { ran: string; reason: string };
    expect(answer.status).toBe(503);
    expect(problem).toMatchObject({ ran: 'no', reason: 'no-target' });
    expect(Number(answer.headers.get('retry-after'))).toBeGreaterThan(
      Number(LONG_REST_SECONDS) / 2,
    );
    expect(running.targets.map(({ timesMet }) => timesMet)).toEqual([1, 1]);
  });

  it('does not hold back those that wait for its slots once it rests', async () => {
    const running = await start({
      targets: 1,
      slots: 1,
      target: { serviceMilliseconds: () => 400 },
    });
    const first = send(running.url());
    await until(() => running.target.inFlight === 1);
    const waiting = Array.from({ length: 4 }, () => send(running.url()));
    await until(() => running.daemon.components.directory.allServices()[0]?.waiting === 4);
    rest(running.target);
    expect((await first).status).toBe(200);
    const seen = await Promise.all(waiting);
    expect(seen.map(({ status, ran }) => [status, ran])).toEqual(new Array(4).fill([503, 'no']));
    expect(running.target.timesMet).toBe(2);
  });
});
