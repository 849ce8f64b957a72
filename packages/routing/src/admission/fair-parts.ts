/** What an account asks for over all hosts. */
export interface AccountDemand {
  readonly name: string;
  /** Weight of its part, such as its limit. */
  readonly weight: number;
  /** Smaller numbers are more urgent. */
  readonly priority: number;
  /** Demand at all hosts. */
  readonly requestsPerSecond: number;
  /** Demand at this host. */
  readonly ownPerSecond: number;
}

/** Parts of accounts by name, in requests per second; accounts that get all they ask for have none. */
export type FairParts = ReadonlyMap<string, number>;

/**
 * Divides a rate among accounts. The most urgent ones get what they ask for first; among equally
 * urgent ones, by weighted max-min fairness, those that ask for less than their part get all of it,
 * and what they leave goes to the others by their weights.
 */
export function divideFairly(demands: readonly AccountDemand[], perSecond: number): FairParts {
  const parts = new Map<string, number>();
  const asking = demands.filter(({ requestsPerSecond }) => requestsPerSecond > 0);
  const byPriority = new Map<number, AccountDemand[]>();
  for (const demand of asking) {
    byPriority.set(demand.priority, [...(byPriority.get(demand.priority) ?? []), demand]);
  }
  let left = Math.max(0, perSecond);
  for (const priority of [...byPriority.keys()].sort((a, b) => a - b)) {
    left = fillEqual(byPriority.get(priority) ?? [], left, parts);
  }
  return parts;
}

/**
 * Divides a rate among equally urgent accounts.
 *
 * @returns what is left of it
 */
function fillEqual(
  demands: readonly AccountDemand[],
  perSecond: number,
  parts: Map<string, number>,
): number {
  const byNeed = [...demands].sort((a, b) => needOf(a) - needOf(b));
  let left = perSecond;
  let weight = byNeed.reduce((sum, account) => sum + account.weight, 0);
  for (const account of byNeed) {
    const part = weight === 0 ? 0 : (left / weight) * account.weight;
    if (account.requestsPerSecond > part) {
      parts.set(account.name, part);
    }
    left -= Math.min(part, account.requestsPerSecond);
    weight -= account.weight;
  }
  return left;
}

function needOf({ requestsPerSecond, weight }: AccountDemand): number {
  return requestsPerSecond / weight;
}
