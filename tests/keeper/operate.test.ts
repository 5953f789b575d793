import { PassThrough } from 'node:stream';
import test from 'ava';
import { startKeeper } from '../../src/programs/keeper';
import { runOperatorCli } from '../../src/programs/jackdaw/runOperatorCli';
import { wireOperatorTools } from '../../src/programs/jackdaw/wireOperatorTools';
import { applyToPlatform, buildEntrySettings, startEmbeddedSystem } from '../../tools/embedded';
import type { EmbeddedSystem } from '../../tools/embedded';
import { buildTestConfiguration, TEST_KEYS } from '../_lib/buildTestConfiguration';
import { readOk } from '../_lib/readOk';

const NAMES = ['engine-1', 'engine-2'];
const VM = { name: 'entry-1', region: 'r1', availabilityZone: 'z1' };
const SILENT = { info: () => {}, warn: () => {}, error: () => {} };

const buildTargets = (version: string) =>
  NAMES.map((backendServer) => ({
    backendServer,
    models: [{ model: 'review', version, adapter: '' }],
    role: 'serve',
  }));

const startSystem = (): Promise<EmbeddedSystem> =>
  startEmbeddedSystem({
    configuration: {
      ...buildTestConfiguration(),
      engineTargets: buildTargets('1'),
      backendServers: NAMES.map((name) => ({
        name,
        url: 'http://127.0.0.1:1',
        region: 'r1',
        availabilityZone: 'z1',
        services: ['review'],
        slots: 8,
        checksFencing: true,
      })),
    },
    entryZones: ['z1', 'z1'],
    engineSettings: { firstTokenMs: 5, gapMs: 1 },
  });

/** Runs `jackdaw` and returns its exit code and output. */
const runTool = async (system: EmbeddedSystem, args: readonly string[]) => {
  const stdout = new PassThrough();
  Object.assign(process.env, {
    JACKDAW_TABLE_ENDPOINT: system.platform.table.url,
    JACKDAW_VM_LIST_ENDPOINT: system.platform.vmList.url,
    JACKDAW_REGION: 'local',
    JACKDAW_ACCESS_KEY_ID: 'stand-in',
    JACKDAW_SECRET_ACCESS_KEY: 'stand-in-secret',
  });
  const streams = { stdout, stderr: new PassThrough() };
  const code = await runOperatorCli(args, wireOperatorTools(), streams);
  return { code, text: String(stdout.read() ?? '') };
};

test('the keeper rolls out a new version; status, explain and drain report it', async (t) => {
  const system = await startSystem();
  const settings = buildEntrySettings(system.platform, VM);
  const keeper = readOk(
    await startKeeper(
      { vm: VM, monitor: settings.callers, table: settings.table, maxConcurrentLoads: 1 },
      { logger: SILENT },
    ),
  );
  t.teardown(async () => {
    await keeper.stop();
    await system.stop();
  });
  const { configuration } = system.backends;
  await applyToPlatform(settings, { ...configuration, engineTargets: buildTargets('2') }, 1);

  const readStatus = async () =>
    JSON.parse((await runTool(system, ['status', '--json'])).text) as Record<string, never[]>;
  let status = await readStatus();
  const isUpdated = (server: { asDesired: boolean; actual: { version: string }[] }) =>
    server.asDesired && server.actual.some(({ version }) => version === '2');
  while (!(status.backendServers ?? []).every(isUpdated)) status = await readStatus();
  t.like(status, { version: 2, leases: [{ region: 'r1', vm: 'entry-1' }] });
  t.is(status.vms?.length, 2);
  const ready = await fetch(`${keeper.monitorUrl}/readyz`);
  t.is(ready.status, 200);
  const metrics = await (await fetch(`${keeper.monitorUrl}/metrics`)).text();
  t.regex(metrics, /jackdaw_keeper_lease_held 1/);

  const answer = await fetch(`${system.entries[0]?.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEST_KEYS.counter}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'review',
      max_tokens: 5,
      messages: [{ role: 'user', content: 'Review.' }],
    }),
  });
  await answer.text();
  const request = answer.headers.get('jackdaw-request-id') ?? '';
  const explained = await runTool(system, ['explain', request]);
  t.is(explained.code, 0);
  t.regex(explained.text, /entry-1:\n {2}route review: engine-[12]/);
  t.is((await runTool(system, ['explain', 'req_unknown'])).code, 6);

  const drained = await runTool(system, ['drain', 'entry-2', '--json']);
  t.is(drained.code, 0);
  t.deepEqual(JSON.parse(drained.text), { vm: 'entry-2', running: 0, ended: null });
  t.is((await runTool(system, ['drain', 'entry-9'])).code, 6);
  const shown = await runTool(system, ['status']);
  t.regex(shown.text, /entry-2 .*draining/);
});
