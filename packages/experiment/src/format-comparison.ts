import { formatTable } from '@ferrylock/utils';
import type { Comparison } from './comparison.js';
import { differences, spreadOf } from './comparison.js';
import type { Outcome } from './outcome.js';

/** Figures that are shown, in their order. */
export const SHOWN: readonly (keyof Outcome)[] = [
  'worth',
  'credit',
  'worstRegion',
  'worstWindows',
  'served',
  'refused',
  'late',
  'knownShare',
  'betweenRegions',
  'p50Milliseconds',
  'p99Milliseconds',
];

/** Comparison as a table for people: means over the seeds, and the paired difference in worth. */
export function formatComparison(comparison: Comparison): string {
  return formatTable(rowsOf(comparison));
}

/** The table's rows, its heading first. */
export function rowsOf({ ways }: Comparison): string[][] {
  const [whole] = ways;
  const heading = ['way', 'difference in worth (least to most)', ...SHOWN];
  const rows = ways.map((way) => {
    const { mean, least, most } = spreadOf(
      whole === undefined ? [] : differences(way, whole, ({ worth }) => worth),
    );
    const figures = SHOWN.map((name) =>
      shown(spreadOf(way.plays.map(({ outcome }) => outcome[name])).mean),
    );
    const difference = way === whole ? '' : `${signed(mean)} (${signed(least)} to ${signed(most)})`;
    return [way.without === undefined ? 'whole' : `without ${way.without}`, difference, ...figures];
  });
  return [heading, ...rows];
}

function shown(value: number): string {
  return Math.abs(value) >= 10 ? value.toFixed(0) : value.toFixed(3);
}

function signed(value: number): string {
  return `${value < 0 ? '' : '+'}${value.toFixed(3)}`;
}
