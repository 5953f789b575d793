import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { renderTimeline } from '../renderTimeline';
import { explainLog } from '.';

const buildLine = (vm: string, time: number, message: string, fields: object = {}): string =>
  JSON.stringify({ context: { program: 'p', vm, ...fields }, message, sequence: '0', time });

const writeLogs = async (t: ExecutionContext, logs: Readonly<Record<string, string[]>>) => {
  const folder = await mkdtemp(join(tmpdir(), 'jackdaw-test-'));
  t.teardown(() => rm(folder, { recursive: true }));
  const files = Object.entries(logs).map(([name, lines]) => ({
    file: join(folder, name),
    text: `${lines.join('\n')}\n`,
  }));
  await Promise.all(files.map(({ file, text }) => writeFile(file, text)));
  return files.map(({ file }) => file);
};

test('a timeline is sorted by time over all VMs and shows the beliefs of each VM', async (t) => {
  const files = await writeLogs(t, {
    'vm-2.log': [buildLine('vm-2', 5000, 'request refused', { requestId: 'r-1', kind: 'not-run' })],
    'vm-1.log': [
      buildLine('vm-1', 1000, 'configuration in force', { version: 7 }),
      buildLine('vm-1', 1100, 'server known', { server: 'i-1', zone: 'z1' }),
      buildLine('vm-1', 1100, 'server known', { server: 'i-2', zone: 'z2' }),
      'no line of ours',
      buildLine('vm-1', 2000, 'store lost', { table: 'servers', reason: 'timeout' }),
      buildLine('vm-1', 2500, 'server suspected', { server: 'i-1', cause: 'silent' }),
      `a prefix ${buildLine('vm-1', 3000, 'stream sent', { requestId: 'r-1', server: 'i-1' })}`,
      buildLine('vm-1', 3000, 'stream sent', { requestId: 'r-2', server: 'i-2' }),
      buildLine('vm-1', 4000, 'store regained', { table: 'servers' }),
      buildLine('vm-1', 6000, 'stream ended', { requestId: 'r-1', outcome: 'answered' }),
    ],
  });
  const timeline = (await explainLog('r-1', files))._unsafeUnwrap();
  t.deepEqual(renderTimeline(timeline), [
    '00:00:03.000 vm-1: stream sent  server=i-1',
    '    configuration: configuration in force version=7, for 2.0 s',
    '    i-1: server suspected cause=silent, for 0.5 s',
    '    store servers: store lost reason=timeout, for 1.0 s',
    '00:00:05.000 vm-2: request refused  kind=not-run',
    '00:00:06.000 vm-1: stream ended  outcome=answered',
    '    configuration: configuration in force version=7, for 5.0 s',
  ]);
});

// Guards against a wait that cannot be explained, as the scheduler's lines name no request.
test('a timeline follows the tickets of a request to the lines of schedulers on other VMs', async (t) => {
  const files = await writeLogs(t, {
    'vm-9.log': [
      buildLine('vm-9', 1010, 'stream queued', { ticket: 'vm-1/7', position: 3 }),
      buildLine('vm-9', 1011, 'stream queued', { ticket: 'vm-1/8' }),
      buildLine('vm-9', 2000, 'any other message', { ticket: 'vm-1/7', server: 'i-1' }),
    ],
    'vm-1.log': [
      buildLine('vm-1', 1000, 'stream waits', { requestId: 'r-1', ticket: 'vm-1/7' }),
      buildLine('vm-1', 1000, 'stream waits', { requestId: 'r-2', ticket: 'vm-1/8' }),
      buildLine('vm-1', 2010, 'stream sent', { requestId: 'r-1', ticket: 'vm-1/7', server: 'i-1' }),
      buildLine('vm-1', 2020, 'stream ended', { requestId: 'r-1', ticket: '' }),
    ],
    'vm-3.log': [buildLine('vm-3', 1500, 'no demand of anyone', { ticket: '' })],
  });
  const timeline = (await explainLog('r-1', files))._unsafeUnwrap();
  t.deepEqual(renderTimeline(timeline), [
    '00:00:01.000 vm-1: stream waits  ticket=vm-1/7',
    '00:00:01.010 vm-9: stream queued  ticket=vm-1/7 position=3',
    '00:00:02.000 vm-9: any other message  ticket=vm-1/7 server=i-1',
    '00:00:02.010 vm-1: stream sent  ticket=vm-1/7 server=i-1',
    '00:00:02.020 vm-1: stream ended  ticket=',
  ]);
});

test('the timeline of a request without log lines is empty', async (t) => {
  const files = await writeLogs(t, { 'vm-1.log': [buildLine('vm-1', 1, 'gateway started')] });
  t.deepEqual((await explainLog('r-1', files))._unsafeUnwrap(), []);
});

test('the error names the file that cannot be read', async (t) => {
  t.regex((await explainLog('r-1', ['nowhere.log']))._unsafeUnwrapErr(), /^nowhere\.log: /);
});
