/** Counts by name; zero counts are omitted. */
export type Counts = Readonly<Record<string, number>>;

/** Adds counts to a total, in place. */
export function addCounts(total: Record<string, number>, counts: Counts): void {
  for (const [name, count] of Object.entries(counts)) {
    total[name] = (total[name] ?? 0) + count;
  }
}

/** Subtracts a part from a total, clamping each count at zero. */
export function subtractCounts(total: Counts, part: Counts): Record<string, number> {
  const remainder: Record<string, number> = { ...total };
  for (const [name, count] of Object.entries(part)) {
    remainder[name] = Math.max(0, (remainder[name] ?? 0) - count);
  }
  return remainder;
}
