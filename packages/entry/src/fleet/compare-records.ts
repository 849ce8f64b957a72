import { compareIncarnations } from '@ferrylock/routing';
import type { TargetRecord } from '@ferrylock/routing';
import type { FleetRecord } from './fleet-record.js';

/** Whether one of two records of a key was written later, by what stands in them; undefined where nothing there tells. */
export type RecordOrder = 'newer' | 'older' | undefined;

/**
 * Orders two records of a key by their own numbers, which those who write them go on counting whatever becomes of the
 * store: the version of a configuration, the start of a target and the sequence in it.
 */
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
  const start = compareIncarnations(one, other);
  if (start !== 'same') {
    return start === 'later' ? 'newer' : 'older';
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
