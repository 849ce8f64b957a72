import type { StoreListing } from '@ferrylock/platform';
import { z } from 'zod';
import { memberKey } from '../membership/member.js';
import type { Position } from './position-layout.js';

/** Keys in the platform's key-value service. */
export const LAYOUT_KEY = 'ferrylock/layout';

const holderSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  controlAddress: z.string(),
});

/** Who holds a position, by the store. */
export const positionRecordSchema = z.object({
  holder: holderSchema.nullable(),
  /** Set by a daemon that takes the holder for dead and has begun to wait it out. */
  noticeBy: z.string().nullable(),
  /** The store that the record was written to; see {@link StoredPosition.isDoubtful}. */
  storeId: z.string(),
});
export type PositionRecord = z.infer<typeof positionRecordSchema>;

/** A record with the revision that a change of it must name. */
export interface StoredPosition {
  readonly position: Position;
  readonly record: PositionRecord;
  readonly revision: number;
  /**
   * Set where the store was put back from a backup since the record was written: another daemon may
   * hold the position by a record that is lost.
   */
  readonly isDoubtful: boolean;
}

export function positionKey({ group, index }: Position): string {
  return `${positionPrefix(group)}${String(index).padStart(5, '0')}`;
}

/** What the keys of a group's positions begin with. */
export function positionPrefix(group: string): string {
  return `ferrylock/positions/${group}/`;
}

/** The records of the given positions; one that was never written is vacant. */
export function readPositions(
  positions: readonly Position[],
  { values, storeId }: StoreListing,
): StoredPosition[] {
  const byKey = new Map(values.map((value) => [value.key, value]));
  return positions.map((position) => {
    const stored = byKey.get(positionKey(position));
    const record = parseRecord(stored?.value) ?? vacantRecord(storeId);
    return {
      position,
      record,
      revision: stored?.revision ?? 0,
      isDoubtful: record.storeId !== storeId,
    };
  });
}

function parseRecord(text: string | undefined): PositionRecord | undefined {
  if (text === undefined) {
    return undefined;
  }
  const parsed = positionRecordSchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data : undefined;
}

/** The process that holds a position; undefined where it is vacant. */
export function holderKey(record: PositionRecord): string | undefined {
  return record.holder === null ? undefined : memberKey(record.holder);
}

/** A record that anyone may claim. */
export function vacantRecord(storeId: string): PositionRecord {
  return { holder: null, noticeBy: null, storeId };
}
