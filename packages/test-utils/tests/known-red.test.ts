import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { afterEach, beforeEach, expect, test } from 'vitest';

const SCRIPT = fileURLToPath(new URL('../../../.ci/known-red.mjs', import.meta.url));
const LINE = 'limits hold under a cut | clocks are not compared | issue 12';

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'known-red-'));
});

afterEach(() => {
  rmSync(folder, { recursive: true });
});

/** Runs the judge on tests by name and outcome, with these lines in the list. */
function judge(outcomes: Record<string, 'passed' | 'failed'>, listed: readonly string[]) {
  const assertionResults = Object.entries(outcomes).map(([fullName, status]) => ({
    fullName,
    status,
  }));
  return judgeFiles([{ name: 'a.test.ts', status: 'passed', assertionResults }], listed);
}

function judgeFiles(testResults: readonly unknown[], listed: readonly string[], runner = '0') {
  const report = join(folder, 'report.json');
  const list = join(folder, 'KNOWN-RED.txt');
  writeFileSync(report, JSON.stringify({ testResults }));
  if (listed.length > 0) {
    writeFileSync(list, `${listed.join('\n')}\n`);
  }
  const { status, stdout } = spawnSync(process.execPath, [SCRIPT, report, list, runner]);
  return { status, lines: stdout.toString().trim().split('\n') };
}

test('passes where every test does, and says how many', () => {
  const { status, lines } = judge({ a: 'passed', b: 'passed' }, []);
  expect({ status, last: lines.at(-1) }).toEqual({ status: 0, last: '2 passed, 0 failed' });
});

test('fails where a test does that is not listed', () => {
  const { status, lines } = judge({ 'limits hold under a cut': 'failed', b: 'failed' }, [LINE]);
  expect(status).toBe(1);
  expect(lines).toContain('failed: b');
});

test('passes over a listed failure, and prints its line', () => {
  const { status, lines } = judge({ a: 'passed', 'limits hold under a cut': 'failed' }, [LINE]);
  expect(status).toBe(0);
  expect(lines).toContain(`known red: ${LINE}`);
});

test('fails where a listed test passes: its line is to go', () => {
  const { status } = judge({ a: 'passed', 'limits hold under a cut': 'passed' }, [LINE]);
  expect(status).toBe(1);
});

test('fails where a file could not be loaded, and where no test ran', () => {
  const broken = { name: 'b.test.ts', status: 'failed', assertionResults: [] };
  const whole = { name: 'a.test.ts', status: 'passed', assertionResults: [] };
  expect(judgeFiles([broken, whole], []).status).toBe(1);
  expect(judgeFiles([], []).status).toBe(1);
});

test('fails where the run did though no test failed, as after an error outside of the tests', () => {
  const assertionResults = [{ fullName: 'a', status: 'passed' }];
  const file = { name: 'a.test.ts', status: 'passed', assertionResults };
  expect(judgeFiles([file], [], '0').status).toBe(0);
  expect(judgeFiles([file], [], '1').status).toBe(1);
});
