// Runs ava; failures that KNOWN-RED.txt lists are printed and passed over, only these. In a run of all
// tests, an entry whose test passes or is not there fails it.
import { spawn } from 'node:child_process';
import { compareFailures, listTapFailures, readKnownFailures } from '../known-red';

const AVA = 'node_modules/ava/entrypoints/cli.mjs';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const FAILED = 1;

const runAva = (args: readonly string[], onOutput: (text: string) => void): Promise<number> => {
  const stdio = ['ignore', 'pipe', 'inherit'] as const;
  const child = spawn(process.execPath, [AVA, ...args], { stdio: [...stdio] });
  child.stdout?.on('data', (chunk: Buffer) => onOutput(chunk.toString('utf8')));
  return new Promise((resolve) => {
    child.on('close', (code) => resolve(code ?? FAILED));
  });
};

const write = (text: string): void => {
  process.stdout.write(text);
};

const knownRed = (await readKnownFailures(KNOWN_RED_FILE)).filter(({ suite }) => suite === 'unit');
const args = process.argv.slice(2);
if (knownRed.length === 0) {
  process.exitCode = await runAva(args, write);
} else {
  const chunks: string[] = [];
  const code = await runAva(['--tap', ...args], (text) => chunks.push(text));
  const report = chunks.join('');
  const failures = listTapFailures(report);
  const verdict = compareFailures(failures ?? [], knownRed);
  verdict.known.forEach((line) => write(`known  ${line}\n`));
  const stale = args.length === 0 ? verdict.stale : [];
  stale.forEach((line) => write(`stale  ${line}\n`));
  const isPassed = failures !== null && verdict.unknown.length + stale.length === 0;
  // A code without a listed failure is a fault of the run itself.
  const isExplained = code === 0 || verdict.known.length > 0;
  if (!isPassed || !isExplained) write(report);
  process.exitCode = isPassed && isExplained ? 0 : FAILED;
}
