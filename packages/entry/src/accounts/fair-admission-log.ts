import type { PartsChange } from '@ferrylock/routing';
import type { EntryEvent } from '../events.js';

/** Accounts named in one line. */
const MAX_LOGGED_ACCOUNTS = 8;
const DIGITS = 2;

/** Event of a change of the accounts that get less than they ask for. */
export function partsEvent({ service, room, ageMilliseconds, parts }: PartsChange): EntryEvent {
  const named = [...parts].slice(0, MAX_LOGGED_ACCOUNTS);
  return {
    event: 'fair-parts',
    service,
    parts: named.map(([account, perSecond]) => ({ account, partPerSecond: rounded(perSecond) })),
    count: parts.size,
    slots: room.slots,
    load: room.load,
    ...(room.work === undefined ? {} : { work: rounded(room.work) }),
    reportAgeMilliseconds: Math.round(ageMilliseconds),
  };
}

function rounded(value: number): number {
  return Number(value.toFixed(DIGITS));
}
