import { formatTable } from '@ferrylock/utils';

/** One line of a bench: a way that was tried, or a size that was measured. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** A figure that is to be reached, and whether it was. */
export interface Target {
  readonly name: string;
  readonly goal: string;
  readonly value: number;
  readonly unit: string;
  readonly met: boolean;
}

/** What one bench found. */
export interface BenchResult {
  readonly setup: Row;
  readonly rows: readonly Row[];
  readonly targets: readonly Target[];
}

export interface BenchOptions {
  readonly seed: number;
  /** Tells how far a long bench has come. */
  readonly progress: (text: string) => void;
}

export type Bench = (options: BenchOptions) => Promise<BenchResult>;

/** A target that is met by a value at or below the bound. */
export function atMost(name: string, bound: number, value: number, unit: string): Target {
  return { name, goal: `<= ${bound} ${unit}`, value: rounded(value), unit, met: value <= bound };
}

/** A target that is met by a value at or above the bound. */
export function atLeast(name: string, bound: number, value: number, unit: string): Target {
  return { name, goal: `>= ${bound} ${unit}`, value: rounded(value), unit, met: value >= bound };
}

/** A figure with four significant digits, which is more than any of these measurements holds. */
export function rounded(value: number): number {
  return Number(value.toPrecision(4));
}

/** Rows as a table for people. */
export function formatRows(rows: readonly Row[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
  return formatTable(cells);
}

/** Targets as a table for people. */
export function formatTargets(targets: readonly Target[]): string {
  return formatRows(
    targets.map(({ name, goal, value, unit, met }) => ({
      target: name,
      goal,
      measured: `${value} ${unit}`,
      met: met ? 'yes' : 'MISSED',
    })),
  );
}
