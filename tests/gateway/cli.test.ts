import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import test from 'ava';
import { runGatewayCli } from '../../src/programs/gateway/runGatewayCli';

const runCli = async (args: readonly string[]) => {
  const stderr = new PassThrough();
  const chunks: Buffer[] = [];
  stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
  const exitCode = await runGatewayCli(args, { stderr });
  return { exitCode, text: Buffer.concat(chunks).toString('utf8') };
};

test('missing settings make the program exit with file, key and reason', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-'));
  const file = join(folder, 'boot.toml');
  await writeFile(file, 'node_name = "vm-1"\nip = "10.0.0.1"\ninternal_ports = [1, 2]\n');
  const { exitCode, text } = await runCli(['--settings', file]);
  t.is(exitCode, 1);
  ['zone', 'listen', 'platform'].forEach((key) => t.true(text.includes(`${file}: ${key}: `)));
  await rm(folder, { recursive: true });
});

test('a missing settings file makes the program exit with its name', async (t) => {
  const { exitCode, text } = await runCli(['--settings', 'nowhere.toml']);
  t.is(exitCode, 1);
  t.regex(text, /^nowhere\.toml: /);
});

test('an invalid command line has its own exit code', async (t) => {
  t.is((await runCli(['--nonsense'])).exitCode, 2);
});
