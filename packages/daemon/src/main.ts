#!/usr/bin/env node
/** The daemon's command: `ferrylockd --settings FILE.ini [--check]`. */
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { Daemon } from './daemon.js';
import { parseSettings } from './settings/settings.js';
import type { Settings } from './settings/settings.js';

const EXIT_CUT = 1;
const EXIT_BAD_SETTINGS = 2;

interface Options {
  readonly settings?: string;
  readonly check?: boolean;
}

/** Reads the settings, or names every fault and ends the process. */
function readSettings(file: string): Settings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    console.error(`ferrylockd: cannot read ${file}: ${String(error)}`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = parseSettings(text);
  if (settings.isErr()) {
    for (const { field, message } of settings.error) {
      console.error(`ferrylockd: ${file}: ${field}: ${message}`);
    }
    process.exit(EXIT_BAD_SETTINGS);
  }
  return settings.value;
}

async function run(daemon: Daemon): Promise<void> {
  const hurry = new AbortController();
  let stopping = false;
  const onSignal = (): void => {
    if (stopping) {
      hurry.abort();
      return;
    }
    stopping = true;
    daemon.stop(hurry.signal).then(
      ({ requestsCut }) => process.exit(requestsCut === 0 ? 0 : EXIT_CUT),
      (error: unknown) => {
        console.error(`ferrylockd: the stop failed: ${String(error)}`);
        process.exit(EXIT_CUT);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  await daemon.start();
}

sade('ferrylockd', true)
  .describe('Entry host daemon. SIGTERM stops it as planned; a second one cuts what is in flight.')
  .option('--settings', 'INI file with the settings')
  .option('--check', 'Only check the settings')
  .action(async (options: Options) => {
    if (options.settings === undefined) {
      console.error('ferrylockd: --settings FILE.ini is required');
      process.exit(EXIT_BAD_SETTINGS);
    }
    const settings = readSettings(options.settings);
    if (options.check === true) {
      console.log('settings are well-formed');
      return;
    }
    await run(new Daemon(settings));
  })
  .parse(process.argv);
