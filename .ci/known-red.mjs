/**
 * Judges a run of the tests by its JSON report and KNOWN-RED.txt: passes over just the failures that are listed
 * there, a line each (`test, cause, issue`, the test by its full name), and prints them. A listed test that passes
 * is a failure too: its line is to go. So is a run that ended with another status than 0 for no failed test.
 */
import { existsSync, readFileSync } from 'node:fs';

const SEPARATOR = ' | ';

/** Names of listed tests, with the line that lists each. */
function readListed(path) {
  const lines = existsSync(path) ? readFileSync(path, 'utf8').split('\n') : [];
  const listed = lines.filter((line) => line.trim() !== '');
  return new Map(listed.map((line) => [line.split(SEPARATOR)[0].trim(), line]));
}

function main([reportPath, listPath, runnerStatus]) {
  const report = JSON.parse(readFileSync(reportPath, 'utf8'));
  const tests = report.testResults.flatMap(({ assertionResults }) => assertionResults);
  const failed = tests.filter(({ status }) => status === 'failed').map(({ fullName }) => fullName);
  const brokenFiles = report.testResults.filter(
    ({ status, assertionResults }) => status === 'failed' && assertionResults.length === 0,
  );
  const listed = readListed(listPath);
  const unlisted = failed.filter((name) => !listed.has(name));
  const mended = [...listed.keys()].filter((name) => !failed.includes(name));
  for (const [name, line] of listed) {
    console.log(
      `known red: ${line}${failed.includes(name) ? '' : ' -- but it passed or did not run'}`,
    );
  }
  for (const name of unlisted) {
    console.log(`failed: ${name}`);
  }
  for (const { name } of brokenFiles) {
    console.log(`no test could run: ${name}`);
  }
  const isUnexplained = runnerStatus !== '0' && failed.length + brokenFiles.length === 0;
  if (isUnexplained) {
    console.log(
      `the run ended with ${runnerStatus}, though no test failed: an error outside of the tests`,
    );
  }
  const passed = tests.filter(({ status }) => status === 'passed').length;
  const bad = unlisted.length + mended.length + brokenFiles.length + Number(isUnexplained);
  console.log(`${passed} passed, ${bad} failed`);
  return bad === 0 && passed > 0 ? 0 : 1;
}

process.exitCode = main(process.argv.slice(2));
