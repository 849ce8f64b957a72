import type { ConfigurationDocument } from '@ferrylock/schema';
import { ControlFleet, FakeClock, FakeStore, KeyValueEngine } from '@ferrylock/test-utils';
import { silentLogger } from '@ferrylock/utils';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ConfigurationReplica, ConfigurationService } from '../../src/index.js';
import type { ChangeFailure } from '../../src/index.js';

interface Operator {
  readonly replica: ConfigurationReplica;
  readonly service: ConfigurationService;
}

interface Setup {
  readonly clock: FakeClock;
  readonly engine: KeyValueEngine;
  readonly store: FakeStore;
  readonly stored: ConfigurationDocument[];
  readonly first: Operator;
  readonly second: Operator;
}

/** Creates two configuration services that share a store. */
function setUp(): Setup {
  const clock = new FakeClock();
  const engine = new KeyValueEngine();
  const store = new FakeStore(engine, clock);
  const stored: ConfigurationDocument[] = [];
  const operator = (): Operator => {
    const replica = new ConfigurationReplica();
    const onStored = (document: ConfigurationDocument): void => {
      stored.push(document);
      replica.offer(document);
    };
    return {
      replica,
      service: new ConfigurationService({ store, replica, clock, logger: silentLogger, onStored }),
    };
  };
  return { clock, engine, store, stored, first: operator(), second: operator() };
}

async function apply(
  { clock }: Setup,
  { service }: Operator,
  change: { id: string; basedOn: number; priority?: number },
): Promise<{ generation: number; alreadyApplied: boolean } | ChangeFailure> {
  const outcome = service.apply(
    { account: 'atec', changeId: change.id, basedOn: change.basedOn, author: 'op', kind: 'apply' },
    ControlFleet.declaration('atec', change.priority ?? 1),
  );
  await clock.advance(2_000);
  const result = await outcome;
  return result.isOk() ? result.value : result.error;
}

function generationInStore(engine: KeyValueEngine): number {
  const value = engine.get('ferrylock/configuration/atec')?.value ?? '{"generation":0}';
  return (JSON.parse(value) as ConfigurationDocument).generation;
}

describe('ConfigurationService', () => {
  it('reports both generations in the conflict of the second of two operators', async () => {
    const setup = setUp();
    expect(await apply(setup, setup.first, { id: 'a', basedOn: 0 })).toMatchObject({
      generation: 1,
    });
    expect(await apply(setup, setup.second, { id: 'b', basedOn: 0 })).toEqual({
      kind: 'conflict',
      basedOn: 0,
      current: 1,
    });
  });

  it('accepts exactly one of two concurrent changes', async () => {
    const setup = setUp();
    setup.engine.faults.slowMilliseconds = 50;
    const outcomes = await Promise.all([
      apply(setup, setup.first, { id: 'a', basedOn: 0 }),
      apply(setup, setup.second, { id: 'b', basedOn: 0 }),
    ]);
    const kinds = outcomes.map((outcome) => ('kind' in outcome ? outcome.kind : 'applied'));
    expect(kinds.sort()).toEqual(['applied', 'conflict']);
    expect(generationInStore(setup.engine)).toBe(1);
  });

  it('resolves a write with a lost reply by reading it back', async () => {
    const setup = setUp();
    setup.engine.faults.loseWriteReplies = true;
    const outcome = service(setup);
    await setup.clock.advance(100);
    setup.engine.faults.loseWriteReplies = false;
    await setup.clock.advance(2_000);
    expect((await outcome).unwrap()).toEqual({ generation: 1, alreadyApplied: true });
    expect(generationInStore(setup.engine)).toBe(1);

    function service({ first }: Setup): ReturnType<ConfigurationService['apply']> {
      return first.service.apply(
        { account: 'atec', changeId: 'a', basedOn: 0, author: 'op', kind: 'apply' },
        ControlFleet.declaration('atec'),
      );
    }
  });

  it('reports an unknown outcome while replies are lost, and applies a repeat once', async () => {
    const setup = setUp();
    setup.engine.faults.loseWriteReplies = true;
    const lost = await apply(setup, setup.first, { id: 'a', basedOn: 0 });
    expect(lost).toMatchObject({ kind: 'outcomeUnknown' });
    setup.engine.faults.loseWriteReplies = false;
    const repeat = await apply(setup, setup.second, { id: 'a', basedOn: 0 });
    expect(repeat).toEqual({ generation: 1, alreadyApplied: true });
  });

  it('recognizes a repeat after a later change', async () => {
    const setup = setUp();
    await apply(setup, setup.first, { id: 'a', basedOn: 0, priority: 1 });
    await apply(setup, setup.second, { id: 'b', basedOn: 1, priority: 2 });
    const repeat = await apply(setup, setup.first, { id: 'a', basedOn: 0, priority: 1 });
    expect(repeat).toEqual({ generation: 1, alreadyApplied: true });
    expect(generationInStore(setup.engine)).toBe(2);
  });

  it('reports that nothing was changed while the store is down', async () => {
    const setup = setUp();
    setup.engine.setDown(true);
    expect(await apply(setup, setup.first, { id: 'a', basedOn: 0 })).toMatchObject({
      kind: 'storeUnavailable',
    });
    expect(generationInStore(setup.engine)).toBe(0);
  });

  it('rejects a document above the size limit without a change', async () => {
    const setup = setUp();
    const declaration = ControlFleet.declaration('atec');
    const service = declaration.services['verdict-api'];
    const many = Array.from({ length: 12_000 }, (_, index) => [`service-${index}`, service]);
    const outcome = await setup.first.service.apply(
      { account: 'atec', changeId: 'a', basedOn: 0, author: 'op', kind: 'apply' },
      { ...declaration, services: Object.fromEntries(many) as typeof declaration.services },
    );
    expect(outcome.unwrapErr()).toMatchObject({ kind: 'tooLarge', maximumBytes: 1_000_000 });
    expect(generationInStore(setup.engine)).toBe(0);
  });

  it('rolls back to an earlier declaration as a new generation', async () => {
    const setup = setUp();
    await apply(setup, setup.first, { id: 'a', basedOn: 0, priority: 1 });
    await apply(setup, setup.first, { id: 'b', basedOn: 1, priority: 2 });
    const change = { account: 'atec', changeId: 'c', basedOn: 2, author: 'op' };
    const outcome = await setup.first.service.rollback({ ...change, kind: 'rollback' }, 1);
    expect(outcome.unwrap()).toEqual({ generation: 3, alreadyApplied: false });
    const { declaration } = setup.first.replica.get('atec') ?? {};
    expect(declaration?.services['verdict-api']?.priority).toBe(1);
  });

  it('continues from the fleet’s generation after a restore of an older store', async () => {
    const setup = setUp();
    await apply(setup, setup.first, { id: 'a', basedOn: 0 });
    const backup = setup.engine.backUp();
    await apply(setup, setup.first, { id: 'b', basedOn: 1 });
    setup.engine.restore(backup);
    expect(await apply(setup, setup.first, { id: 'c', basedOn: 2 })).toMatchObject({
      generation: 3,
    });
    expect(generationInStore(setup.engine)).toBe(3);
  });

  it('matches the model for any order of changes, lost replies and outages', async () => {
    const step = fc.record({
      operator: fc.constantFrom('first' as const, 'second' as const),
      id: fc.constantFrom('a', 'b', 'c', 'd'),
      basedOn: fc.integer({ min: 0, max: 4 }),
      fault: fc.constantFrom('none', 'lost', 'down'),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 12 }), async (steps) => {
        const setup = setUp();
        const applied = new Set<string>();
        for (const { operator, id, basedOn, fault } of steps) {
          setup.engine.faults.loseWriteReplies = fault === 'lost';
          setup.engine.setDown(fault === 'down');
          const before = generationInStore(setup.engine);
          const outcome = await apply(setup, setup[operator], { id, basedOn });
          const after = generationInStore(setup.engine);
          expect(after - before).toBe(
            !applied.has(id) && basedOn === before && fault !== 'down' ? 1 : 0,
          );
          if (after > before) {
            applied.add(id);
          }
          if ('generation' in outcome) {
            expect(applied.has(id)).toBe(true);
          }
        }
      }),
      { seed: 11, numRuns: 60 },
    );
  });
});
