import { compareIncarnations } from '@ferrylock/routing';
import type { TargetRecord } from '@ferrylock/routing';
import type { FleetRecord } from './fleet-record.js';

/** Order of two records of one key; undefined if their contents do not determine it. */
export type RecordOrder = 'newer' | 'older' | undefined;

/** Orders two records of a key by version numbers that a restore of the store does not reset. */
export function compareRecords(one: FleetRecord, other: FleetRecord): RecordOrder {
  if (one.kind === 'configuration' && other.kind === 'configuration') {
    return order(one.configuration.version, other.configuration.version);
  }
  if (one.kind === 'target' && other.kind === 'target') {
    return compareTargets(one.target, other.target);
  }
  return undefined;
}

function compareTargets(one: TargetRecord, other: TargetRecord): RecordOrder {
  const incarnation = compareIncarnations(one, other);
  if (incarnation !== 'same') {
    return incarnation === 'later' ? 'newer' : 'older';
  }
  return one.sequence === undefined || other.sequence === undefined
    ? undefined
    : order(one.sequence, other.sequence);
}

function order(one: number, other: number): RecordOrder {
  if (one === other) {
    return undefined;
  }
  return one > other ? 'newer' : 'older';
}
