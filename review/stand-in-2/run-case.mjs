/** Runs a case: it writes record.txt, ends everything that was started, and sets the exit code. */
import { writeFileSync } from 'node:fs';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { Fleet } from './fleet.mjs';
import { Store } from './store.mjs';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MILLISECONDS = 110_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * @param url - of the case's module, beside which record.txt lies
 * @param play - plays the case and returns whether the rule was broken
 */
export async function runCase(url, play) {
  const lines = [];
  const startedAt = Date.now();
  const record = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);
  const store = new Store();
  const backends = [];
  let fleet = undefined;
  let code = NOT_RUN;
  const limit = setTimeout(() => {
    record('the time is over');
    fleet?.kill();
    finish();
  }, LIMIT_MILLISECONDS);
  const finish = () => {
    writeFileSync(fileURLToPath(new URL('record.txt', url)), `${lines.join('\n')}\n`);
    process.exit(code);
  };
  try {
    await store.start('127.0.0.1');
    record(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
    const start = async (zones) => {
      fleet = new Fleet(store, zones);
      await fleet.start();
      return fleet;
    };
    const isBroken = await play({ store, backends, start, record });
    record(isBroken ? 'the rule was broken' : 'the rule held');
    code = isBroken ? BROKEN : HELD;
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await fleet?.stop();
  for (const backend of backends) {
    backend.stop();
  }
  store.stop();
  console.log(lines.at(-1));
  finish();
}
