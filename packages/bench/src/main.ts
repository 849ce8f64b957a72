/** `npm run bench -- NAME [--json] [--seed N]`: measures one aspect and prints what it found. */
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { benches } from './benches.js';
import { formatRows, formatTargets } from './report.js';

const DEFAULT_SEED = 1;
const SHORT_COMMIT_LENGTH = 7;

interface Options {
  readonly json?: boolean;
  readonly seed: number;
}

/** The commit that is checked out, read from the repository's own files. */
function currentCommit(): string {
  try {
    const git = new URL('../../../.git/', import.meta.url);
    const head = readFileSync(new URL('HEAD', git), 'utf8').trim();
    const reference = /^ref: (.*)$/.exec(head)?.[1];
    const commit = reference === undefined ? head : readFileSync(new URL(reference, git), 'utf8');
    return commit.slice(0, SHORT_COMMIT_LENGTH);
  } catch {
    return 'unknown';
  }
}

async function run(name: string, { json, seed }: Options): Promise<void> {
  const bench = benches[name];
  if (bench === undefined) {
    console.error(`bench: expected one of ${Object.keys(benches).join(', ')}, got "${name}"`);
    process.exit(2);
  }
  const progress = (text: string): void => {
    console.error(text);
  };
  const { setup, rows, targets } = await bench({ seed, progress });
  if (json === true) {
    console.log(
      JSON.stringify({ bench: name, commit: currentCommit(), seed, setup, rows, targets }),
    );
  } else {
    console.log(formatRows([setup]));
    console.log(`\n${formatRows(rows)}`);
    console.log(targets.length > 0 ? `\n${formatTargets(targets)}` : '');
  }
  process.exit(0);
}

sade('bench <name>', true)
  .option('--json', 'Print one JSON document')
  .option('--seed', 'Seed of the random numbers', DEFAULT_SEED)
  .action((name: string, options: Options) => {
    run(name, options).catch((error: unknown) => {
      console.error(error);
      process.exit(1);
    });
  })
  .parse(process.argv);
