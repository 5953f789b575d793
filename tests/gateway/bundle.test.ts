import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import test from 'ava';
import { parse } from 'smol-toml';

/** Exceeds the timeout of the slowest build step. */
const RUN_TIMEOUT_MS = 300_000;

/** Runs a script of this repository and waits until it exits. */
const run = (args: readonly string[]) =>
  spawnSync(process.execPath, args, { encoding: 'utf8', timeout: RUN_TIMEOUT_MS });

const NO_SETTINGS = ['target/jackdaw-gateway.cjs', '--settings', '/nonexistent'];

test.before((t) => {
  t.timeout(RUN_TIMEOUT_MS);
  t.is(run(['scripts/build-gateway.mjs']).status, 0);
});

// Without the code cache, the start took 509 ms of processor time; with it, 262 to 290 ms.
test('the bundled gateway starts from its code cache', (t) => {
  const started = run(NO_SETTINGS);
  t.is(started.status, 1);
  t.is(started.stdout, '');
  t.true(started.stderr.startsWith('/nonexistent: '));
});

test('a code cache that V8 rejects is not used, and the log says so', (t) => {
  const started = run(['--max-old-space-size=120', ...NO_SETTINGS]);
  t.is(started.status, 1);
  t.is(JSON.parse(started.stdout).message, 'code cache rejected');
  t.true(started.stderr.startsWith('/nonexistent: '));
});

// Node.js contains a code cache of its own modules, which it rejects under other V8 flags.
test('the gateway starts without V8 flags, which would make Node.js recompile its modules', (t) => {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as {
    roles: { gateway: { run: string } };
  };
  const [program, ...words] = roles.gateway.run.split(' ');
  t.is(program, 'node');
  t.true(words[0]?.startsWith('target/'));
});
