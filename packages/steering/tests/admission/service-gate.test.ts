import { declarationSchema } from '@ferrylock/schema';
import { FakeClock } from '@ferrylock/test-utils';
import { Cancellation, SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { DistanceMap, ServiceGate, SlotBook, TargetSet } from '../../src/index.js';

const SERVICE_MILLISECONDS = 100;

interface Setup {
  readonly clock: FakeClock;
  readonly gate: ServiceGate;
  /** What became of each request, in the order in which it was told. */
  readonly log: string[];
}

/** A gate before one target of one slot, with room for three that wait. */
function makeGate(hasOpenTarget = true): Setup {
  const clock = new FakeClock();
  const declaration = declarationSchema.parse({
    account: 'atec',
    failureDomains: { d: { region: 'r' } },
    services: {
      desk: {
        repeat: 'free',
        targets: { t: { address: '127.0.0.1', port: 1, slots: 1, failureDomain: 'd' } },
      },
    },
  });
  const distances = new DistanceMap(declaration);
  const targets = new TargetSet('atec', 'desk');
  targets.update(declaration, [], distances, 0);
  const book = new SlotBook(
    {
      targets,
      allotment: { usable: () => 1, lendable: () => 1 },
      entryPlace: { failureDomain: 'd', region: 'r' },
      clock,
      random: new SeededRandom(1),
    },
    distances,
  );
  const gate = new ServiceGate({
    book,
    clock,
    queueLimit: 3,
    hasOpenTarget: () => hasOpenTarget,
    opensInSeconds: () => 1,
    onShortage: () => undefined,
    onUnused: () => undefined,
  });
  return { clock, gate, log: [] };
}

async function run(
  setup: Setup,
  name: string,
  options: { rank?: number; within?: number; caller?: Cancellation } = {},
): Promise<void> {
  const { clock, gate, log } = setup;
  const entered = await gate.enter({
    deadlineAt: clock.now() + (options.within ?? 10_000),
    caller: options.caller ?? new Cancellation(),
    rank: options.rank ?? 0.5,
    accept: () => true,
    onTaken: () => undefined,
  });
  if (entered.isErr()) {
    log.push(`${name}: ${entered.error.reason}`);
    return;
  }
  await clock.sleep(SERVICE_MILLISECONDS);
  log.push(`${name}: ran`);
  gate.leave(entered.value, SERVICE_MILLISECONDS);
}

describe('ServiceGate', () => {
  it('lets requests through one after another, in the order of their arrival', async () => {
    const setup = makeGate();
    ['a', 'b', 'c'].forEach((name) => void run(setup, name));
    await setup.clock.advance(1_000);
    expect(setup.log).toEqual(['a: ran', 'b: ran', 'c: ran']);
  });

  it('refuses at once what finds the queue full', async () => {
    const setup = makeGate();
    ['a', 'b', 'c', 'd', 'e'].forEach((name) => void run(setup, name));
    await setup.clock.advance(1);
    expect(setup.log).toEqual(['e: overload']);
  });

  it('refuses the highest rank at once when a lower one needs its place', async () => {
    const setup = makeGate();
    void run(setup, 'a');
    void run(setup, 'b', { rank: 0.2 });
    void run(setup, 'c', { rank: 0.9 });
    void run(setup, 'd', { rank: 0.4 });
    void run(setup, 'e', { rank: 0.3 });
    await setup.clock.advance(1);
    expect(setup.log).toEqual(['c: overload']);
    await setup.clock.advance(1_000);
    expect(setup.log.slice(1)).toEqual(['a: ran', 'b: ran', 'd: ran', 'e: ran']);
  });

  it('refuses at once what could not be done in time', async () => {
    const setup = makeGate();
    void run(setup, 'first');
    await setup.clock.advance(150);
    ['a', 'b'].forEach((name) => void run(setup, name));
    void run(setup, 'late', { within: 150 });
    await setup.clock.advance(1);
    expect(setup.log).toEqual(['first: ran', 'late: overload']);
  });

  it('drops before its run what has waited too long', async () => {
    const setup = makeGate();
    void run(setup, 'a');
    void run(setup, 'b', { within: 50 });
    await setup.clock.advance(60);
    expect(setup.log).toEqual(['b: deadline']);
  });

  it('forgets a caller that goes away while it waits', async () => {
    const setup = makeGate();
    const caller = new Cancellation();
    void run(setup, 'a');
    void run(setup, 'b', { caller });
    await setup.clock.advance(10);
    caller.cancel();
    await setup.clock.advance(1);
    expect(setup.log).toEqual(['b: caller-gone']);
    expect(setup.gate.waiting).toBe(0);
  });

  it('says at once that no target is open', async () => {
    const setup = makeGate(false);
    void run(setup, 'a');
    void run(setup, 'b');
    await setup.clock.advance(1);
    expect(setup.log).toEqual(['b: no-target']);
  });
});
