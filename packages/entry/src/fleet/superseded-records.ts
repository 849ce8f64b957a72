import { compareIncarnations } from '@ferrylock/routing';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import type { SuspectState } from './suspect-record.js';

/** The least recently changed keys are evicted first. */
const MAX_KEYS = 8_192;
const MAX_RECORDS_PER_KEY = 4;
/** States of a suspect in their order of succession. */
const STATES: readonly SuspectState[] = ['suspected', 'tried', 'cleared'];

/**
 * Previous records of keys. They identify stale records in the listing of a restored store where
 * the records carry no version that orders them.
 */
export class SupersededRecords {
  readonly #previous = new Map<string, readonly FleetRecord[]>();

  /** Remembers the record that a change replaces. */
  record({ key, record }: FleetChange, previous: FleetRecord | undefined): void {
    if (previous === undefined || (record !== undefined && isSameIncarnation(record, previous))) {
      return;
    }
    const records = [previous, ...this.#previousOf(key)].slice(0, MAX_RECORDS_PER_KEY);
    this.#previous.delete(key);
    this.#previous.set(key, records);
    if (this.#previous.size > MAX_KEYS) {
      this.#previous.delete(this.#previous.keys().next().value ?? '');
    }
  }

  /** Whether a listed record may precede the latest known change of its key. */
  mayBeStale(listed: FleetRecord, latest: FleetChange): boolean {
    const { key, record } = latest;
    if (listed.kind === 'suspect' && record?.kind === 'suspect') {
      return STATES.indexOf(listed.suspect.state) < STATES.indexOf(record.suspect.state);
    }
    const isReplaced = record === undefined || !isSameIncarnation(listed, record);
    return isReplaced && this.#previousOf(key).some((known) => isSameIncarnation(listed, known));
  }

  #previousOf(key: string): readonly FleetRecord[] {
    return this.#previous.get(key) ?? [];
  }
}

/** Whether two records belong to the same incarnation; compares only the kind of other records. */
function isSameIncarnation(one: FleetRecord, other: FleetRecord): boolean {
  if (one.kind === 'entryHost' && other.kind === 'entryHost') {
    return one.host.incarnation === other.host.incarnation;
  }
  if (one.kind === 'target' && other.kind === 'target') {
    return compareIncarnations(one.target, other.target) === 'same';
  }
  return one.kind === other.kind;
}
