import { afterEach, describe, expect, it } from 'vitest';
import type { Daemon } from '../src/index.js';
import { Fixture, send, until } from './daemon-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function startTwo(
  serviceMilliseconds: number,
): Promise<{ running: Fixture; leaving: Daemon }> {
  fixture = await Fixture.start({
    daemons: 2,
    target: { serviceMilliseconds: () => serviceMilliseconds },
  });
  const [, leaving] = fixture.daemons;
  if (leaving === undefined) {
    throw new Error('no second daemon');
  }
  return { running: fixture, leaving };
}

/** Takes a daemon out of the fixture, which then does not stop it a second time. */
function release(running: Fixture, daemon: Daemon): void {
  running.daemons.splice(running.daemons.indexOf(daemon), 1);
}

async function namedBy(daemon: Daemon): Promise<string[]> {
  const url = `http://${daemon.addresses.traffic}/v1/lookup?account=atec&service=desk`;
  const { entryHosts } = (await (await fetch(url)).json()) as { entryHosts: { id: string }[] };
  return entryHosts.map((host) => host.id).sort();
}

describe('a planned stop', () => {
  it('takes the host out of look-ups, lets work in flight end, and gives back its positions', async () => {
    const { running, leaving } = await startTwo(400);
    const url = running.url('/work', 1);
    const inFlight = Array.from({ length: 3 }, () => send(url));
    await until(() => running.target.inFlight > 0);
    const stopped = leaving.stop();
    release(running, leaving);
    await until(() =>
      running.daemon.components.membership
        .knownMembers()
        .some((member) => member.state === 'leaving'),
    );
    expect(await namedBy(running.daemon)).toEqual(['entry-0']);
    expect((await Promise.all(inFlight)).map((seen) => seen.status)).toEqual([200, 200, 200]);
    expect(await stopped).toEqual({ requestsCut: 0 });
    await until(() => running.daemon.components.positions.positions.length === 2);
    expect(running.daemon.components.positions.positions).toHaveLength(2);
  });

  it('serves callers on that still use an earlier answer', async () => {
    const { running, leaving } = await startTwo(1);
    const url = running.url('/work', 1);
    const stopped = leaving.stop();
    release(running, leaving);
    const statuses = new Set<number>();
    for (let request = 0; request < 20; request++) {
      statuses.add((await send(url)).status);
      await new Promise((resolve) => setTimeout(resolve, 40));
    }
    expect([...statuses]).toEqual([200]);
    expect(await stopped).toEqual({ requestsCut: 0 });
  });

  it('says what was cut when it is hurried', async () => {
    const { running, leaving } = await startTwo(3_000);
    const url = running.url('/work', 1);
    const cut = fetch(url).catch(() => 'cut');
    await until(() => running.target.inFlight > 0);
    const hurry = new AbortController();
    const stopped = leaving.stop(hurry.signal);
    release(running, leaving);
    hurry.abort();
    expect(await stopped).toEqual({ requestsCut: 1 });
    expect(await cut).toBe('cut');
  });
});

describe('a leaving target', () => {
  it('gets no new work once it has said so, also with the store down', async () => {
    fixture = await Fixture.start({ targets: 2, service: { probePath: '/health' } });
    const running = fixture;
    running.engine.setDown(true);
    for (let request = 0; request < 10; request++) {
      await send(running.url());
    }
    running.target.leaving = true;
    const service = running.daemon.components.directory.service('atec', 'desk');
    await until(() => service?.targets.get('t0')?.leaving === true);
    const before = running.target.requests;
    for (let request = 0; request < 20; request++) {
      expect((await send(running.url())).status).toBe(200);
    }
    expect(running.target.requests).toBe(before);
  });

  it.each([
    ['target', { scope: 'target', service: 'desk', name: 't0' }],
    ['host', { scope: 'host', name: '127.0.0.1' }],
    ['failure domain', { scope: 'failureDomain', name: 'fyn-1' }],
  ] as const)('gets no new work once its %s is drained', async (_name, drain) => {
    fixture = await Fixture.start({});
    const document = fixture.daemon.components.replica.get('atec');
    if (document === undefined) {
      throw new Error('no declaration');
    }
    expect((await send(fixture.url())).status).toBe(200);
    fixture.daemon.components.replica.offer({ ...document, generation: 2, drains: [drain] });
    expect(await send(fixture.url())).toMatchObject({ ran: 'no', reason: 'no-target' });
    fixture.daemon.components.replica.offer({ ...document, generation: 3, drains: [] });
    expect((await send(fixture.url())).status).toBe(200);
  });
});
