// Runs the scenarios of tests/scenarios, or those whose names contain an argument.
import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { compareFailures, readKnownFailures } from '../known-red';
import { readScenarioFile } from './readScenarioFile';
import { runScenario } from './runScenario';
import type { ScenarioResult } from './types';

const FOLDER = 'tests/scenarios';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const PARALLEL = 4;

const runFile = async (file: string): Promise<ScenarioResult> => {
  const read = await readScenarioFile(join(FOLDER, file));
  return read.isOk()
    ? runScenario(read.value)
    : { name: file, faults: [read.error], tookMs: 0, logs: '' };
};

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Matches a part of the scenario's name, or the whole name if the filter begins with `=`. */
const matchesFilter = (file: string, filter: string): boolean =>
  filter.startsWith('=') ? file === `${filter.slice(1)}.scenario.toml` : file.includes(filter);

const filters = process.argv.slice(2);
const knownFailures = (await readKnownFailures(KNOWN_RED_FILE)).filter(
  ({ suite }) => suite === 'scenario',
);
const files = (await readdir(FOLDER).catch(() => []))
  .filter((file) => file.endsWith('.scenario.toml'))
  .filter((file) => filters.length === 0 || filters.some((filter) => matchesFilter(file, filter)))
  .sort();

let passed = 0;
let failed = 0;
const failures: string[] = [];
const printResult = ({ name, faults, tookMs, logs }: ScenarioResult): void => {
  const duration = `${Math.round(tookMs)} ms`;
  if (faults.length === 0) {
    passed += 1;
    print(`ok     ${name} (${duration})`);
    return;
  }
  failures.push(name);
  const knownFailure = knownFailures.find((known) => known.name === name);
  if (knownFailure !== undefined) {
    print(`known  ${knownFailure.line} (${duration}): ${faults.join('; ')}`);
    return;
  }
  failed += 1;
  print(`FAILED ${name} (${duration}): ${faults.join('; ')}`);
  print(logs);
};

const pending = [...files];
const runPendingFiles = async (): Promise<void> => {
  for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
    printResult(await runFile(file));
  }
};
await Promise.all(Array.from({ length: PARALLEL }, runPendingFiles));
const { stale } = compareFailures(failures, filters.length === 0 ? knownFailures : []);
stale.forEach((line) => print(`stale  ${line}`));
failed += stale.length;
print(`${passed} passed, ${failed} failed`);
process.exitCode = failed > 0 || files.length === 0 ? 1 : 0;
