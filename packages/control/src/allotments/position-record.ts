import type { StoreListing } from '@ferrylock/platform';
import { z } from 'zod';
import { memberKey } from '../membership/member.js';
import type { Position } from './position-layout.js';

/** Key of the layout in the platform's key-value service. */
export const LAYOUT_KEY = 'ferrylock/layout';

/** Placeholder id for a store before a restore under the same id; no store has this id. */
const STORE_BEFORE_RESTORE = '';

const holderSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  controlAddress: z.string(),
});

/** Stored ownership of a position. */
export const positionRecordSchema = z.object({
  holder: holderSchema.nullable(),
  /** Member key of a daemon that considers the holder dead and is reclaiming the position. */
  noticeBy: z.string().nullable(),
  /** Id of the store that the record was written to; see {@link StoredPosition.isDoubtful}. */
  storeId: z.string(),
});
export type PositionRecord = z.infer<typeof positionRecordSchema>;

/** Record with the revision that a compare-and-swap must expect. */
export interface StoredPosition {
  readonly position: Position;
  readonly record: PositionRecord;
  readonly revision: number;
  /**
   * Set if the store was restored from a backup after the write of the record: another daemon may
   * hold the position through a lost record.
   */
  readonly isDoubtful: boolean;
}

export function positionKey({ group, index }: Position): string {
  return `${positionPrefix(group)}${String(index).padStart(5, '0')}`;
}

/** Key prefix of a group's positions. */
export function positionPrefix(group: string): string {
  return `ferrylock/positions/${group}/`;
}

/**
 * Reads the records of the given positions; a missing one is vacant.
 *
 * @param uncertainUpTo - revision up to which records may be outdated after a restore, or 0
 */
export function readPositions(
  positions: readonly Position[],
  { values, storeId }: StoreListing,
  uncertainUpTo = 0,
): StoredPosition[] {
  const byKey = new Map(values.map((value) => [value.key, value]));
  return positions.map((position) => {
    const stored = byKey.get(positionKey(position));
    const revision = stored?.revision ?? 0;
    const read = parseRecord(stored?.value) ?? vacantRecord(storeId);
    // Writes derived from the record keep the placeholder id until the record is replaced.
    const record = isUncertain(revision, uncertainUpTo)
      ? { ...read, storeId: STORE_BEFORE_RESTORE }
      : read;
    return { position, record, revision, isDoubtful: record.storeId !== storeId };
  });
}

function isUncertain(revision: number, upTo: number): boolean {
  return upTo > 0 && revision <= upTo;
}

function parseRecord(text: string | undefined): PositionRecord | undefined {
  if (text === undefined) {
    return undefined;
  }
  const parsed = positionRecordSchema.safeParse(JSON.parse(text));
  return parsed.success ? parsed.data : undefined;
}

/** Member key of the holder; undefined if the position is vacant. */
export function holderKey(record: PositionRecord): string | undefined {
  return record.holder === null ? undefined : memberKey(record.holder);
}

/** Creates a record that any daemon may claim. */
export function vacantRecord(storeId: string): PositionRecord {
  return { holder: null, noticeBy: null, storeId };
}
