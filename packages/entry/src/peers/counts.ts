/** Counts by name; names without any are left out. */
export type Counts = Readonly<Record<string, number>>;

/** Adds counts to a total. */
export function addCounts(total: Record<string, number>, counts: Counts): void {
  for (const [name, count] of Object.entries(counts)) {
    total[name] = (total[name] ?? 0) + count;
  }
}

/** A total without a part of it; never below zero. */
export function subtractCounts(total: Counts, part: Counts): Record<string, number> {
  const rest: Record<string, number> = { ...total };
  for (const [name, count] of Object.entries(part)) {
    rest[name] = Math.max(0, (rest[name] ?? 0) - count);
  }
  return rest;
}
