/** Keys in the platform's key-value service. */
export const CONFIGURATION_PREFIX = 'ferrylock/configuration/';
const HISTORY_PREFIX = 'ferrylock/history/';

/** Where an account's current document stands. */
export function configurationKey(account: string): string {
  return `${CONFIGURATION_PREFIX}${account}`;
}

/** Where an earlier document stands, for a roll-back. */
export function historyKey(account: string, generation: number): string {
  return `${HISTORY_PREFIX}${account}/${generation}`;
}
