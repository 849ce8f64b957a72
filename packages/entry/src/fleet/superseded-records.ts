import { compareIncarnations } from '@ferrylock/routing';
import type { FleetChange, FleetRecord } from './fleet-record.js';
import type { SuspectState } from './suspect-record.js';

/** Keys of which it is kept what was known before; those that changed longest ago are forgotten first. */
const MAX_KEYS = 8_192;
/** Starts of one entry host that are kept. */
const MAX_RECORDS_PER_KEY = 4;
/** States of a suspect in the order in which they follow one another. */
const STATES: readonly SuspectState[] = ['suspected', 'tried', 'cleared'];

/**
 * What stood under keys before, for records that do not say themselves which was written later. A listing of a store that came
 * back from a copy may show such a record again after it had been replaced or taken away.
 */
export class SupersededRecords {
  readonly #former = new Map<string, readonly FleetRecord[]>();

  /** A key changes, and this stood there. */
  record({ key, record }: FleetChange, former: FleetRecord | undefined): void {
    if (former === undefined || (record !== undefined && isSameIncarnation(record, former))) {
      return;
    }
    const kept = [former, ...this.#of(key)].slice(0, MAX_RECORDS_PER_KEY);
    this.#former.delete(key);
    this.#former.set(key, kept);
    if (this.#former.size > MAX_KEYS) {
      this.#former.delete(this.#former.keys().next().value ?? '');
    }
  }

  /** Whether a listed record may have stood under its key before what is known of it. */
  mayBeStale(listed: FleetRecord, latest: FleetChange): boolean {
    const { key, record } = latest;
    if (listed.kind === 'suspect' && record?.kind === 'suspect') {
      return STATES.indexOf(listed.suspect.state) < STATES.indexOf(record.suspect.state);
    }
    const isReplaced = record === undefined || !isSameIncarnation(listed, record);
    return isReplaced && this.#of(key).some((former) => isSameIncarnation(listed, former));
  }

  #of(key: string): readonly FleetRecord[] {
    return this.#former.get(key) ?? [];
  }
}

/** Whether two records of a key are of one start of a host or target; all others are of one kind alone. */
function isSameIncarnation(one: FleetRecord, other: FleetRecord): boolean {
  if (one.kind === 'entryHost' && other.kind === 'entryHost') {
    return one.host.incarnation === other.host.incarnation;
  }
  if (one.kind === 'target' && other.kind === 'target') {
    return compareIncarnations(one.target, other.target) === 'same';
  }
  return one.kind === other.kind;
}
