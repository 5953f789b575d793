// Runs ava. Failures that KNOWN-RED.txt lists are printed and ignored; any other failure fails the
// run. So does, in a run of all tests, an entry whose test passes or does not exist.
//
// `alone` runs the tests that measure the memory of a process or its times, one after the other. They vary from run
// to run, so that an entry of theirs may pass.
import { spawn } from 'node:child_process';
import { compareFailures, listTapFailures, readKnownFailures } from '../known-red';

const AVA = 'node_modules/ava/entrypoints/cli.mjs';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const FAILED = 1;
const ALONE_ARGS = ['--config', 'ava.alone.config.js'];

/** ava's own limit no longer holds once a test has set a longer one. */
const SILENCE_LIMIT_MS = 300_000;

const runAva = (args: readonly string[], onOutput: (text: string) => void): Promise<number> => {
  const stdio = ['ignore', 'pipe', 'inherit'] as const;
  // A process group of its own, so that processes which tests have started can be ended as well.
  const child = spawn(process.execPath, [AVA, ...args], { stdio: [...stdio], detached: true });
  const killGroup = (): void => {
    if (child.pid !== undefined && child.exitCode === null) process.kill(-child.pid, 'SIGKILL');
  };
  const handleSilence = (): void => {
    process.stderr.write(`no test ended within ${SILENCE_LIMIT_MS / 1000} s: the run is ended\n`);
    killGroup();
  };
  let timer = setTimeout(handleSilence, SILENCE_LIMIT_MS);
  process.once('exit', killGroup);
  (['SIGINT', 'SIGTERM'] as const).forEach((signal) =>
    process.once(signal, () => process.exit(FAILED)),
  );
  child.stdout?.on('data', (chunk: Buffer) => {
    clearTimeout(timer);
    timer = setTimeout(handleSilence, SILENCE_LIMIT_MS);
    onOutput(chunk.toString('utf8'));
  });
  return new Promise((resolve) => {
    child.on('close', (code) => {
      clearTimeout(timer);
      resolve(code ?? FAILED);
    });
  });
};

const write = (text: string): void => {
  process.stdout.write(text);
};

const [first, ...others] = process.argv.slice(2);
const isAlone = first === 'alone';
const runSuite = isAlone ? 'alone' : 'unit';
const knownFailures = (await readKnownFailures(KNOWN_RED_FILE)).filter(
  ({ suite }) => suite === runSuite,
);
const args = isAlone ? ALONE_ARGS.concat(others) : process.argv.slice(2);
if (knownFailures.length === 0) {
  process.exitCode = await runAva(args, write);
} else {
  const chunks: string[] = [];
  const code = await runAva(['--tap', ...args], (text) => chunks.push(text));
  const report = chunks.join('');
  const failures = listTapFailures(report);
  const comparison = compareFailures(failures ?? [], knownFailures);
  comparison.known.forEach((line) => write(`known  ${line}\n`));
  const stale = args.length === 0 ? comparison.stale : [];
  stale.forEach((line) => write(`stale  ${line}\n`));
  const hasPassed = failures !== null && comparison.unknown.length + stale.length === 0;
  // An exit code other than 0 without a listed failure means that the run itself failed.
  const isExplained = code === 0 || comparison.known.length > 0;
  if (!hasPassed || !isExplained) write(report);
  process.exitCode = hasPassed && isExplained ? 0 : FAILED;
}
