/** This daemon's part of the slots of targets, which all daemons share. */
export interface SlotAllotment {
  /** Slots that may be used here now and until the given clock reading. */
  usable(limit: string, until?: number): number;
  /** Own slots that are not lent out. */
  lendable(limit: string): number;
}

/** The key under which the requests a second that a target names are divided between daemons. */
export function namedLimitKey(account: string, service: string, target: string): string {
  return `named/${account}/${service}/${target}`;
}

/** The key under which a target's slots are divided between daemons. */
export function slotLimitKey(account: string, service: string, target: string): string {
  return `slots/${account}/${service}/${target}`;
}
