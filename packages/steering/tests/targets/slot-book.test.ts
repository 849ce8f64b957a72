import { declarationSchema } from '@ferrylock/schema';
import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { DistanceMap, SlotBook, TargetSet } from '../../src/index.js';
import type { SlotAllotment, Target } from '../../src/index.js';

const LOAN_ENDS_AT = 100;

/** One slot of its own at each target, and one borrowed until the loan ends. */
const ownAndBorrowed: SlotAllotment = {
  usable: (_limit, until = -Infinity) => (until <= LOAN_ENDS_AT ? 2 : 1),
  lendable: () => 1,
};

function makeBook(allotment: SlotAllotment): { book: SlotBook; targets: TargetSet } {
  const clock = new FakeClock();
  const declaration = declarationSchema.parse({
    account: 'atec',
    failureDomains: { near: { region: 'r' }, far: { region: 's' } },
    delays: { between: { from: 'r', to: 's', milliseconds: 10 } },
    services: {
      desk: {
        repeat: 'free',
        targets: {
          n: { address: '127.0.0.1', port: 1, slots: 4, failureDomain: 'near' },
          f: { address: '127.0.0.1', port: 2, slots: 4, failureDomain: 'far' },
        },
      },
    },
  });
  const distances = new DistanceMap(declaration);
  const targets = new TargetSet('atec', 'desk');
  targets.update(declaration, [], distances, 0);
  const entryPlace = { failureDomain: 'near', region: 'r' };
  const random = new SeededRandom(1);
  return {
    book: new SlotBook({ targets, allotment, entryPlace, clock, random }, distances),
    targets,
  };
}

const all = (): boolean => true;

describe('SlotBook', () => {
  it('takes near targets first, then far ones, then none', () => {
    const { book } = makeBook({ usable: () => 2, lendable: () => 2 });
    const taken = Array.from({ length: 5 }, () => book.take(0, all)?.name);
    expect(taken).toEqual(['n', 'n', 'f', 'f', undefined]);
  });

  it('leaves out what is not accepted', () => {
    const { book } = makeBook({ usable: () => 1, lendable: () => 1 });
    expect(book.take(0, (target: Target) => target.name !== 'n')?.name).toBe('f');
  });

  it('does not take a borrowed slot for work that may outlast the loan', () => {
    const { book } = makeBook(ownAndBorrowed);
    const taken = Array.from({ length: 3 }, () => book.take(LOAN_ENDS_AT + 1, all)?.name);
    expect(taken).toEqual(['n', 'f', undefined]);
  });

  it('does not lend its own slot while work may outlast the loan that would have to bear it', () => {
    const { book } = makeBook(ownAndBorrowed);
    book.take(LOAN_ENDS_AT + 1, all);
    const spare = (until: number): string[] => book.spareSlots(until).map(({ target }) => target);
    expect(spare(LOAN_ENDS_AT + 1)).toEqual(['f']);
    expect(spare(LOAN_ENDS_AT)).toEqual(['f', 'n']);
  });

  it('gives no new work to a target that is drained, leaving or on a leaving host', () => {
    const { book, targets } = makeBook({ usable: () => 1, lendable: () => 1 });
    targets.all().forEach((target) => (target.drained = target.name === 'n'));
    expect(book.take(0, all)?.name).toBe('f');
    targets.setLeavingAddresses(new Set(['127.0.0.1']));
    expect(book.take(0, all)).toBeUndefined();
  });
});
