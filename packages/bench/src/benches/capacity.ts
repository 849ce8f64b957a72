import { mkdirSync } from 'node:fs';
import { drawPlot } from '../capacity/draw-plot.js';
import { changeSlope, fleetSlopes, stateSlopes, TARGET } from '../capacity/measure-slopes.js';
import type { FittedSlope } from '../capacity/slope.js';
import { slopeRow } from '../capacity/slope.js';
import { measurePeerCall } from '../peer-call-cost.js';
import type { Bench } from '../report.js';
import { atMost, rounded } from '../report.js';

const PLOTS = new URL('../../../../docs/plots/', import.meta.url);
const MEGABYTE = 1024 * 1024;

/** The slopes behind docs/CAPACITY.md, measured anew, with their plots. */
export const capacity: Bench = async ({ seed, progress }) => {
  const callCost = await measurePeerCall();
  const slopes = [
    ...(await fleetSlopes(seed, progress)),
    ...(await stateSlopes(progress)),
    changeSlope(),
  ];
  mkdirSync(PLOTS, { recursive: true });
  for (const slope of slopes) {
    await drawPlot(slope, PLOTS);
  }
  const at = (name: string): FittedSlope => {
    const found = slopes.find((slope) => slope.name === name);
    if (found === undefined) {
      throw new Error(`no slope ${name}`);
    }
    return found;
  };
  // What grows with the domains comes on top of what a domain of full size costs.
  const byDomains = (name: string): number =>
    at(`${name}-by-domains`).fit.slope * (TARGET.domains - 2);
  const calls = at('calls-by-hosts').atTarget + byDomains('calls');
  const bytes = at('bytes-by-hosts').atTarget + byDomains('bytes');
  const cpu = at('control-cpu-by-hosts').atTarget + byDomains('control-cpu') + calls * callCost;
  const memory =
    at('block-table-bytes').atTarget +
    at('replica-bytes').atTarget +
    at('metrics-bytes').atTarget +
    at('loans-bytes').atTarget;
  // Positions are read by every daemon every 20 s; signs of life by two watchers of each domain.
  const reads = TARGET.daemons / 20 + (2 * TARGET.domains) / 2;
  return {
    setup: { ...TARGET, cpuMsOfOneHttpCall: rounded(callCost) },
    rows: slopes.map(slopeRow),
    targets: [
      atMost('control bytes a daemon and second', 18_432, bytes, 'B/s'),
      atMost('processor time for control', 1.2, cpu / 10, '% of a core'),
      atMost('state held for control', 128, memory / MEGABYTE, 'MB'),
      atMost('store reads', 500, reads, '/s'),
    ],
  };
};
