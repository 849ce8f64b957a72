import { stableHash } from '@ferrylock/utils';
import { z } from 'zod';

/** Positions of one failure domain. */
export const domainPositionsSchema = z.object({
  failureDomain: z.string(),
  region: z.string(),
  count: z.int().min(1).max(1_000),
});

/**
 * Positions among which the limits of a deployment are divided, usually one per entry host. All
 * daemons use the same layout; it is kept in the store and immutable.
 */
export const positionLayoutSchema = z.object({
  /**
   * Grouping of positions. A group needs at least three hosts, so that the loss of one leaves a
   * majority, and should stay below a hundred, since its daemons read all its records.
   */
  groupBy: z.enum(['all', 'region', 'failureDomain']),
  domains: z.array(domainPositionsSchema).min(1),
});
export type PositionLayout = z.infer<typeof positionLayoutSchema>;

/** Entitlement to one share of every limit that it is eligible for. */
export interface Position {
  readonly index: number;
  readonly group: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Lists all positions, ordered by index. */
export function listPositions(layout: PositionLayout): Position[] {
  const positions: Position[] = [];
  for (const domain of layout.domains) {
    for (let count = 0; count < domain.count; count++) {
      const { failureDomain, region } = domain;
      const group = groupOf(layout, domain);
      positions.push({ index: positions.length, group, failureDomain, region });
    }
  }
  return positions;
}

/** Returns the group of a location. */
export function groupOf(
  layout: PositionLayout,
  place: { readonly failureDomain: string; readonly region: string },
): string {
  return layout.groupBy === 'all' ? 'all' : place[layout.groupBy];
}

/** Limit that is divided among positions in whole units. */
export interface DividedLimit {
  readonly key: string;
  readonly units: number;
  /** Failure domain or region whose positions share the limit; all positions if unset. */
  readonly place?: string | undefined;
  /** Granularity of the division in units. */
  readonly grain?: number;
}

/**
 * Divides a limit into shares by position index. The result depends only on the limit and the
 * layout, so all daemons compute the same division, and the shares add up to the limit. Remainders
 * go to positions in an order that differs by limit.
 */
export function divideLimit(
  limit: DividedLimit,
  positions: readonly Position[],
): ReadonlyMap<number, number> {
  const shares = new Map<number, number>();
  const eligible = eligiblePositions(limit, positions);
  if (eligible.length === 0) {
    return shares;
  }
  const grain = limit.grain ?? 1;
  const grains = Math.floor(limit.units / grain);
  const remainder = limit.units - grains * grain;
  const ranked = eligible
    .map((position) => ({ position, weight: stableHash(`${limit.key} ${position.index}`) }))
    .sort((a, b) => b.weight - a.weight || a.position.index - b.position.index);
  ranked.forEach(({ position }, rank) => {
    const whole = Math.floor(grains / ranked.length) + (rank < grains % ranked.length ? 1 : 0);
    const rest = rank === grains % ranked.length ? remainder : 0;
    if (whole > 0 || rest > 0) {
      shares.set(position.index, whole * grain + rest);
    }
  });
  return shares;
}

/** Selects the positions in the limit's location, or all positions if there are none. */
function eligiblePositions(limit: DividedLimit, positions: readonly Position[]): Position[] {
  const { place } = limit;
  const local = positions.filter(
    (position) =>
      place === undefined || position.failureDomain === place || position.region === place,
  );
  return local.length > 0 ? local : [...positions];
}
