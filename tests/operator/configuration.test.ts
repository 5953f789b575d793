import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import test from 'ava';
import { runOperatorCli } from '../../src/programs/jackdaw/runOperatorCli';
import { ExitCode } from '../../src/programs/jackdaw/types';
import { wireOperatorTools } from '../../src/programs/jackdaw/wireOperatorTools';
import { startTestSystem } from '../_lib/startTestSystem';

const SETTINGS = `[operator]
name = "alice"
[table]
endpoint = "TABLE"
name = "jackdaw"
region = "r1"
access_key_id = "id"
secret_access_key = "secret"
[vm_list]
endpoint = "VMS"
`;

// Runs the operator's tool against the table protocol and the peer interface of the entries.
test('apply --wait, rollback after a lost response, history, and diff during an outage', async (t) => {
  const system = await startTestSystem({ entries: 2 });
  t.teardown(system.stop);
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-test-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const { platform, entries } = system;
  const settings = join(folder, 'jackdaw.toml');
  await writeFile(
    settings,
    SETTINGS.replace('TABLE', platform.table.url).replace('VMS', platform.vmList.url),
  );
  platform.vmList.setVms(
    entries.map(({ peerAddress }, index) => ({
      vm: `entry-${index + 1}`,
      peerAddress,
      region: 'r1',
      availabilityZone: 'z1',
      leaving: false,
    })),
  );
  const run = async (...args: readonly string[]) => {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const exitCode = await runOperatorCli([...args, '--settings', settings], wireOperatorTools(), {
      stdout,
      stderr,
    });
    return { exitCode, text: `${stdout.read() ?? ''}${stderr.read() ?? ''}` };
  };

  const applied = await run('apply', 'examples/sello', '--expect-version', '1', '--wait');
  t.is(applied.exitCode, ExitCode.Ok, applied.text);
  t.regex(applied.text, /version 2: in force at 2 of 2 VMs/);
  await run('apply', 'examples/cymdeithas', '--expect-version', '2');
  await platform.table.setFaults({ loseAnswers: 1 });
  const rolledBack = await run('rollback', '2', '--wait');
  t.is(rolledBack.exitCode, ExitCode.Ok, rolledBack.text);
  t.deepEqual(
    entries.map((entry) => entry.readConfigurationVersion()),
    [4, 4],
  );
  t.regex(
    (await run('history')).text,
    /^4 .* alice .*rollback to 2\n3 .* alice .*\n2 .*\n1 .* test /,
  );
  await platform.table.setFaults({ outage: 'refuse' });
  t.is((await run('diff', 'examples/sello')).exitCode, ExitCode.Unreachable);
});
