import type { RepeatClass } from '@ferrylock/schema';
import type { TargetBehaviour } from '@ferrylock/test-utils';
import { afterEach, describe, expect, it } from 'vitest';
import type { FixtureOptions, Seen } from './daemon-fixture.js';
import { Fixture, send } from './daemon-fixture.js';

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function start(options: FixtureOptions): Promise<Fixture> {
  fixture = await Fixture.start(options);
  return fixture;
}

/** A fault at the first of two targets, and what a caller of each class must see. */
interface Cell {
  readonly fault: TargetBehaviour | 'refused';
  readonly repeat: RepeatClass;
  /** Answered by the other target, or the verdict that the caller gets. */
  readonly expected: 'answered' | 'no' | 'unknown' | 'cut';
  /** Runs at both targets together. */
  readonly runs: number;
}

const CELLS: readonly Cell[] = [
  { fault: 'refused', repeat: 'free', expected: 'answered', runs: 1 },
  { fault: 'refused', repeat: 'never', expected: 'answered', runs: 1 },
  { fault: 'refused', repeat: 'wholeUpload', expected: 'answered', runs: 1 },
  { fault: 'resetBeforeReading', repeat: 'free', expected: 'answered', runs: 1 },
  { fault: 'resetBeforeReading', repeat: 'never', expected: 'unknown', runs: 0 },
  { fault: 'resetBeforeReading', repeat: 'wholeUpload', expected: 'unknown', runs: 0 },
  { fault: 'resetAfterReading', repeat: 'free', expected: 'answered', runs: 2 },
  { fault: 'resetAfterReading', repeat: 'never', expected: 'unknown', runs: 1 },
  { fault: 'resetAfterReading', repeat: 'wholeUpload', expected: 'unknown', runs: 1 },
  { fault: 'cutAnswer', repeat: 'free', expected: 'cut', runs: 1 },
  { fault: 'cutAnswer', repeat: 'never', expected: 'cut', runs: 1 },
  { fault: 'cutAnswer', repeat: 'wholeUpload', expected: 'cut', runs: 1 },
  { fault: 'hang', repeat: 'free', expected: 'unknown', runs: 1 },
  { fault: 'hang', repeat: 'never', expected: 'unknown', runs: 1 },
  { fault: 'hang', repeat: 'wholeUpload', expected: 'unknown', runs: 1 },
  { fault: 'shed', repeat: 'free', expected: 'answered', runs: 1 },
  { fault: 'shed', repeat: 'never', expected: 'answered', runs: 1 },
  { fault: 'undelimited', repeat: 'free', expected: 'answered', runs: 2 },
  { fault: 'undelimited', repeat: 'never', expected: 'unknown', runs: 1 },
];

/** Sends requests until one has been given to the faulty target. */
async function sendUntilFaultMet(
  running: Fixture,
  cell: Cell,
): Promise<{ seen: Seen; runs: number }> {
  const [faulty] = running.targets;
  for (let attempt = 0; attempt < 60; attempt++) {
    const headers: Record<string, string> =
      cell.repeat === 'never' ? { 'idempotency-key': await running.key() } : {};
    const before = running.runs().total;
    const metBefore = faulty?.timesMet ?? 0;
    const seen = await send(running.url(), { method: 'POST', body: 'order', headers });
    const met = cell.fault === 'refused' ? attempt > 5 : (faulty?.timesMet ?? 0) > metBefore;
    if (met) {
      return { seen, runs: running.runs().total - before };
    }
  }
  throw new Error('the faulty target was never met');
}

describe('a fault at a target', () => {
  it.each(CELLS)('$fault, class $repeat: $expected, $runs runs', async (cell) => {
    const running = await start({
      targets: 2,
      repeat: cell.repeat,
      // Only a target that hangs makes the test wait for the deadline.
      deadlineMilliseconds: cell.fault === 'hang' ? 600 : 20_000,
      target: { answerBytes: 100_000 },
    });
    if (cell.fault === 'refused') {
      await running.target.stop();
    } else {
      running.target.behaviour = cell.fault;
    }
    const { seen, runs } = await sendUntilFaultMet(running, cell);
    const outcome = seen.cut ? 'cut' : (seen.ran ?? 'answered');
    expect(outcome).toBe(cell.expected);
    expect(runs).toBe(cell.runs);
    expect(running.runs().mostOfOneKey).toBeLessThanOrEqual(1);
  });

  it('that may have run it is not undone by a later try that was not run', async () => {
    const running = await start({ targets: 2 });
    const [first, second] = running.targets;
    if (first !== undefined && second !== undefined) {
      first.behaviour = 'resetAfterReading';
      second.behaviour = 'shed';
    }
    const outcomes = [];
    for (let attempt = 0; attempt < 12; attempt++) {
      const before = running.runs().total;
      const { ran } = await send(running.url());
      outcomes.push({ ran, ranAtTarget: running.runs().total > before });
    }
    expect(outcomes.some(({ ranAtTarget }) => ranAtTarget)).toBe(true);
    for (const { ran, ranAtTarget } of outcomes) {
      expect(ran === 'no' && ranAtTarget).toBe(false);
    }
  });
});

describe('what callers do', () => {
  it('a caller that goes away cancels its request at the target', async () => {
    const running = await start({ target: { serviceMilliseconds: () => 300 } });
    const caller = new AbortController();
    const sent = fetch(running.url(), { signal: caller.signal }).catch(() => undefined);
    while (running.target.inFlight === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    caller.abort();
    await sent;
    while (running.target.inFlight > 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(running.target.cancelled).toBe(1);
  });

  it('a remaining time that is too short is kept to', async () => {
    const running = await start({ target: { serviceMilliseconds: () => 8_000 } });
    const seen = await send(running.url(), { headers: { 'ferrylock-timeout-ms': '1500' } });
    expect(seen).toMatchObject({ status: 504, ran: 'unknown', reason: 'deadline' });
  });

  it.each([
    ['a broken timeout', { headers: { 'ferrylock-timeout-ms': 'soon' } }, 400, 'bad-request'],
    ['a body that is too large', { method: 'POST', body: Buffer.alloc(5_000) }, 413, 'too-large'],
  ])('%s is refused and not run', async (_name, init, status, reason) => {
    const running = await start({ service: { maximumBodyBytes: 1_000 } });
    expect(await send(running.url(), init)).toMatchObject({ status, reason, ran: 'no' });
    expect(running.runs().total).toBe(0);
  });

  it('a streamed upload arrives whole, and a slow one holds no other back', async () => {
    const running = await start({ repeat: 'wholeUpload', slots: 2 });
    const bytes = 3_000_000;
    const slow = new ReadableStream({
      async start(controller) {
        for (let part = 0; part < 30; part++) {
          controller.enqueue(new Uint8Array(bytes / 30));
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
        controller.close();
      },
    });
    const slowSent = send(running.url(), {
      method: 'POST',
      body: slow,
      duplex: 'half',
    });
    const quick = await send(running.url(), { method: 'POST', body: Buffer.alloc(bytes) });
    expect(quick.status).toBe(200);
    expect((await slowSent).status).toBe(200);
    expect(running.target.wholeBodies).toEqual([bytes, bytes]);
  });

  it('an upload whose sender breaks off is never confirmed', async () => {
    const running = await start({ repeat: 'wholeUpload' });
    const broken = new ReadableStream({
      start(controller) {
        controller.enqueue(new Uint8Array(200_000));
        setTimeout(() => {
          controller.error(new Error('the sender broke off'));
        }, 50);
      },
    });
    const sent = fetch(running.url(), {
      method: 'POST',
      body: broken,
      duplex: 'half',
    });
    await expect(sent).rejects.toThrow();
    expect(running.target.wholeBodies).toEqual([]);
  });
});

describe('the boundary', () => {
  it.each([
    ['/s/atec/nothing/work', 404, 'unknown-service'],
    ['/s/nobody/desk/work', 404, 'unknown-service'],
    ['/elsewhere', 404, 'unknown-service'],
    ['/v1/lookup?account=atec&service=nothing', 404, 'unknown-service'],
    ['/v1/lookup?account=atec&service=desk&address=here', 400, 'bad-request'],
  ])('%s is refused: %i %s', async (path, status, reason) => {
    const running = await start({});
    const base = `http://${running.daemon.addresses.traffic}`;
    expect(await send(`${base}${path}`)).toMatchObject({ status, reason, ran: 'no' });
  });

  it('headers that are too long are refused', async () => {
    const running = await start({});
    const seen = await send(running.url(), { headers: { 'x-long': 'x'.repeat(20_000) } });
    expect(seen).toMatchObject({ status: 431, ran: 'no' });
  });

  it('look-ups spread the callers of an account with few blocks over its entry hosts', async () => {
    const running = await start({ daemons: 2 });
    const { lookup } = running.daemon.components;
    const first = Array.from(
      { length: 100 },
      (_, index) => lookup.lookup('atec', 'desk', `10.0.0.${index}`)?.entryHosts[0]?.id,
    );
    const shares = ['entry-0', 'entry-1'].map((id) => first.filter((host) => host === id).length);
    expect(Math.min(...shares)).toBeGreaterThan(25);
  });

  it('look-ups name the entry hosts with a lifetime', async () => {
    const running = await start({ daemons: 2 });
    const { traffic } = running.daemon.addresses;
    const response = await fetch(`http://${traffic}/v1/lookup?account=atec&service=desk`);
    const answer = (await response.json()) as {
      entryHosts: { id: string }[];
      lifetimeSeconds: number;
    };
    expect(answer.entryHosts.map((host) => host.id).sort()).toEqual(['entry-0', 'entry-1']);
    expect(answer.lifetimeSeconds).toBe(1);
  });
});
