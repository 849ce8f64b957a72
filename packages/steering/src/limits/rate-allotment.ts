/** This daemon's part of limits that all daemons share. */
export interface RateAllotment {
  /** The rate that may be used here now, of a limit with the given cap per second. */
  usablePerSecond(limit: string, capPerSecond: number): number;
  /** The lowest rate since the last call, so that a dip between two looks is noticed. */
  lowestPerSecond(limit: string, capPerSecond: number): number;
  /** This daemon's part of the burst that a limit allows, between 0 and 1. */
  burstShare(limit: string): number;
  /** Tells what is asked for, granted or not, so that more can be borrowed where it is needed. */
  recordDemand(limit: string, capPerSecond: number, amount: number): void;
}
