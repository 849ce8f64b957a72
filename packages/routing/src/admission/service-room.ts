/** Room of a service over all its targets, as known to one host. */
export interface ServiceRoom {
  /** Slots of usable targets: those that are cold, failing, leaving or out of reach do not count. */
  readonly slots: number;
  /** Requests of all hosts that these targets run or queue. */
  readonly load: number;
  /** Slots that all callers' requests would take; undefined while their demand is unknown. */
  readonly work: number | undefined;
}

/** Requests per slot; 0 without any slot, as there is no room to divide. */
export function loadPerSlot({ slots, load }: ServiceRoom): number {
  return slots === 0 ? 0 : load / slots;
}

/** Fraction of callers' requests for which there are slots, up to a utilization of these. */
export function servableShare({ slots, work }: ServiceRoom, utilization: number): number {
  return work === undefined || work === 0 ? 1 : Math.min(1, (utilization * slots) / work);
}
