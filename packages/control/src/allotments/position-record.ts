import type { StoreListing } from '@ferrylock/platform';
import { z } from 'zod';
import { memberKey } from '../membership/member.js';
import type { Position } from './position-layout.js';

/** Keys in the platform's key-value service. */
export const LAYOUT_KEY = 'ferrylock/layout';

/** Stands for a store's life before it was put back under the same id; no store has this id. */
const FORMER_STORE = '';

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

/**
 * The records of the given positions; one that was never written is vacant.
 *
 * @param doubtedUpTo - revision up to which records may be older than what was written, since the store was put back; 0 where it was not
 */
export function readPositions(
  positions: readonly Position[],
  { values, storeId }: StoreListing,
  doubtedUpTo = 0,
): StoredPosition[] {
  const byKey = new Map(values.map((value) => [value.key, value]));
  return positions.map((position) => {
    const stored = byKey.get(positionKey(position));
    const revision = stored?.revision ?? 0;
    const read = parseRecord(stored?.value) ?? vacantRecord(storeId);
    // The doubt goes with the record into whatever is written from it, until it is written anew.
    const record = isDoubted(revision, doubtedUpTo) ? { ...read, storeId: FORMER_STORE } : read;
    return { position, record, revision, isDoubtful: record.storeId !== storeId };
  });
}

function isDoubted(revision: number, upTo: number): boolean {
  return upTo > 0 && revision <= upTo;
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
