/** Key prefix in the platform's key-value service. */
export const CONFIGURATION_PREFIX = 'ferrylock/configuration/';
const HISTORY_PREFIX = 'ferrylock/history/';

/** Key of an account's current document. */
export function configurationKey(account: string): string {
  return `${CONFIGURATION_PREFIX}${account}`;
}

/** Key of an earlier document, for rollbacks. */
export function historyKey(account: string, generation: number): string {
  return `${HISTORY_PREFIX}${account}/${generation}`;
}
