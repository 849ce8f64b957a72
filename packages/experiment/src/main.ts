/** `npm run experiment -- SCENARIO.ini [--without NAME,...] [--seeds N] [--hosts N] [--page FILE]` */
import { readFileSync } from 'node:fs';
import { parseDisabledMechanisms } from '@ferrylock/routing';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import sade from 'sade';
import { compare } from './comparison.js';
import { formatComparison } from './format-comparison.js';
import type { Scenario } from './scenario.js';
import { parseScenario, withHosts } from './scenario.js';
import { writePage } from './write-page.js';

const DEFAULT_SEEDS = 3;
const EXIT_BAD_INPUT = 2;

interface Options {
  readonly without?: string;
  readonly seeds: number;
  readonly hosts?: number;
  readonly page?: string;
}

function readScenario(path: string, hosts: number | undefined): Result<Scenario, string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Err(`${path}: expected a scenario file: ${String(error)}`);
  }
  const parsed = parseScenario(text);
  if (parsed.isErr()) {
    const problems = parsed.error.map(({ field, message }) => `${path}: ${field}: ${message}`);
    return Err(problems.join('\n'));
  }
  return hosts === undefined ? Ok(parsed.value) : withHosts(parsed.value, hosts);
}

async function run(path: string, { without = '', seeds, hosts, page }: Options): Promise<void> {
  const scenario = readScenario(path, hosts);
  const leftOut = parseDisabledMechanisms(without);
  const isCount = Number.isInteger(seeds) && seeds > 0;
  const problems = [
    ...(scenario.isErr() ? [scenario.error] : []),
    ...(leftOut.isErr() ? [leftOut.error] : []),
    ...(isCount ? [] : [`seeds: expected a whole number from 1, got ${seeds}`]),
  ];
  if (scenario.isErr() || leftOut.isErr() || problems.length > 0) {
    console.error(problems.join('\n'));
    process.exit(EXIT_BAD_INPUT);
  }
  const comparison = compare({
    scenario: scenario.value,
    disabledMechanisms: leftOut.value,
    seeds,
  });
  console.log(formatComparison(comparison));
  if (page !== undefined) {
    await writePage(page, path, comparison);
  }
}

sade('experiment <scenario>', true)
  .describe('Plays the routing decisions in virtual time, whole and without each mechanism named.')
  .option('--without', 'Mechanisms that are left out, one at a time, divided by commas')
  .option('--seeds', 'Plays of each way, paired by their seed', DEFAULT_SEEDS)
  .option('--hosts', 'Entry hosts; targets, objects and requests change in proportion')
  .option('--page', 'HTML file to write, with plots')
  .action((path: string, options: Options) => {
    run(path, options).catch((error: unknown) => {
      console.error(error);
      process.exit(1);
    });
  })
  .parse(process.argv);
