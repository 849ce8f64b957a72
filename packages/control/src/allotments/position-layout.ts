import { stableHash } from '@ferrylock/utils';
import { z } from 'zod';

/** The positions of one failure domain. */
export const domainPositionsSchema = z.object({
  failureDomain: z.string(),
  region: z.string(),
  count: z.int().min(1).max(1_000),
});

/**
 * The positions between which every limit of a deployment is divided, usually one for each entry
 * host. All daemons work with the same layout; it stands in the store and is not changed in place.
 */
export const positionLayoutSchema = z.object({
  /**
   * Which positions are looked after together. A group needs at least three hosts, so that the loss
   * of one leaves a majority; it should stay below a hundred, since its daemons read all its records.
   */
  groupBy: z.enum(['all', 'region', 'failureDomain']),
  domains: z.array(domainPositionsSchema).min(1),
});
export type PositionLayout = z.infer<typeof positionLayoutSchema>;

/** One position: a part of every limit that it is eligible for. */
export interface Position {
  readonly index: number;
  readonly group: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** All positions in the order of their numbers. */
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

/** The group that a place belongs to. */
export function groupOf(
  layout: PositionLayout,
  place: { readonly failureDomain: string; readonly region: string },
): string {
  return layout.groupBy === 'all' ? 'all' : place[layout.groupBy];
}

/** A limit that is divided between positions, in whole units. */
export interface DividedLimit {
  readonly key: string;
  readonly units: number;
  /** The place whose positions divide the limit between them; all do where it is not set. */
  readonly place?: string | undefined;
  /** Units that stay together at one position. */
  readonly grain?: number;
}

/**
 * The part of a limit that belongs to each position, by position number. It depends on nothing but
 * the limit and the layout, so that all daemons come to the same division, and the parts add up to
 * the whole. What does not divide evenly goes to positions in an order that differs by limit.
 */
export function divideLimit(
  limit: DividedLimit,
  positions: readonly Position[],
): ReadonlyMap<number, number> {
  const parts = new Map<number, number>();
  const eligible = eligiblePositions(limit, positions);
  if (eligible.length === 0) {
    return parts;
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
      parts.set(position.index, whole * grain + rest);
    }
  });
  return parts;
}

/** Where no position lies in the limit's place, all share it. */
function eligiblePositions(limit: DividedLimit, positions: readonly Position[]): Position[] {
  const { place } = limit;
  const local = positions.filter(
    (position) =>
      place === undefined || position.failureDomain === place || position.region === place,
  );
  return local.length > 0 ? local : [...positions];
}
