import test, { type ExecutionContext } from 'ava';
import { CONFIGURATION_KEY, TABLES } from '../../platform';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  type StandInServer,
} from '../../standins/gateway';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const answerAll = (server: StandInServer): void =>
  server.addListener(() => {
    const request = server.takeRequest();
    if (request) server.answer(request, 200, 'yes');
  });

/** Starts a gateway with servers that answer at once, and adds such servers while it runs. */
const setUp = async (t: ExecutionContext) => {
  const gateway = await startTestGateway();
  const added: StandInServer[] = [];
  t.teardown(async () => {
    await gateway.stop();
    await Promise.all(added.map((server) => server.stop()));
  });
  gateway.servers.forEach(answerAll);
  const addServer = async (id: string): Promise<StandInServer> => {
    const server = await createStandInServer(id);
    added.push(server);
    answerAll(server);
    gateway.store.writeRow(TABLES.servers, id, buildWireEntry(server));
    await gateway.waitForLine('server known', (line) => line.server === id);
    return server;
  };
  const sendCalls = async (count: number): Promise<readonly number[]> => {
    const numbers = Array.from({ length: count }, (_, index) => index);
    const answers = await Promise.all(
      numbers.map((number) =>
        gateway.send({ target: '/unsafe/x', id: `call-${number}`, body: 'x' }),
      ),
    );
    return [...new Set(answers.map(({ status }) => status))];
  };
  /** Starts another gateway on the same store and servers. */
  const startAmong = async (): Promise<TestGateway> => {
    const started = await startTestGateway({
      sharedWith: gateway,
      settings: { isFirstStart: false },
    });
    t.teardown(started.stop);
    return started;
  };
  return { gateway, addServer, sendCalls, startAmong };
};

// Guards against requests that get 502 in place of the answer of another server: the HTTP client
// throws when it reads the address, which counted as an attempt that may have run.
test.serial('a server whose address cannot be read costs no request', async (t) => {
  const { addServer, gateway, sendCalls } = await setUp(t);
  const entry = buildWireEntry({ address: '127.0.0.08:80' }, { slots: 64 });
  gateway.store.writeRow(TABLES.servers, 'i-odd', entry);
  await addServer('i-later');
  t.deepEqual(await sendCalls(24), [200]);
  const lines = gateway.lines.filter(({ server }) => server === 'i-odd');
  t.deepEqual(
    lines.map(({ message, reason }) => [message, reason]),
    [['server entry refused', 'address: not IP:PORT']],
  );
});

const DEEP = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
const DEEP_OBJECT = `${'{"a":'.repeat(10_000)}1${'}'.repeat(10_000)}`;
const LONG_TEXT = JSON.stringify('x'.repeat(60_000));

/** JSON of a value in place of a field's. */
const ODD_VALUES: Readonly<Record<string, string>> = {
  'a nested list': DEEP,
  'nested objects': DEEP_OBJECT,
  'a long text': LONG_TEXT,
  'a number too large': '1e999',
  'a large number': '1e308',
  'a number of many digits': '9'.repeat(400),
  'a negative number': '-1e308',
  'no number': '"NaN"',
  'half a character': '"\\ud800"',
  'a line feed': '"a\\nb"',
  null: 'null',
};

const ENTRY_FIELDS = [
  'service',
  'address',
  'zone',
  'slots',
  'state',
  'warmup_left_ms',
  'version',
  'born',
  'sequence',
  '__proto__',
];

/** Replaces the field of an object by a value that is given in JSON. */
const replaceField = (value: object, field: string, json: string): string =>
  `${JSON.stringify({ ...value, [field]: undefined }).slice(0, -1)},"${field}":${json}}`;

const WHOLE_VALUES = ['', DEEP, DEEP_OBJECT, LONG_TEXT, '{', 'null', '0', '1e999', '[]', '{}'];

/** Odd values of a row whose sound value is `value`. */
const listOddTexts = (value: object, fields: readonly string[]): readonly string[] => [
  ...WHOLE_VALUES,
  ...fields.flatMap((field) =>
    Object.values(ODD_VALUES).map((json) => replaceField(value, field, json)),
  ),
];

/** No server listens there. */
const ODD_ENTRY = buildWireEntry({ address: '127.0.0.1:1' }, { service: 'odd' });

const MAX_LINE_BYTES = 2000;

const findLongLines = (lines: readonly object[]): readonly string[] =>
  lines.map((line) => JSON.stringify(line)).filter((line) => line.length > MAX_LINE_BYTES);

// Guards against VMs that end, or that follow the table no further, once it holds such an entry.
test.serial('odd entries of servers, over each other and all together, stop nothing', async (t) => {
  const { addServer, gateway, sendCalls, startAmong } = await setUp(t);
  const texts = listOddTexts(ODD_ENTRY, ENTRY_FIELDS);
  for (const [index, text] of texts.entries()) {
    gateway.store.writeText(TABLES.servers, 'i-odd', text);
    if (index % 10 === 0) await addServer(`i-after-${index}`);
  }
  texts.forEach((text, index) => gateway.store.writeText(TABLES.servers, `i-odd-${index}`, text));
  await addServer('i-last');
  t.deepEqual(await sendCalls(20), [200]);
  t.deepEqual(findLongLines(gateway.lines), []);
  const started = await startAmong();
  await started.waitForLine('server known', ({ server }) => server === 'i-last');
  t.is((await started.send({ target: '/unsafe/x', id: 'call-among', body: 'x' })).status, 200);
  t.deepEqual(findLongLines(started.lines), []);
});

const CONFIGURATION_FIELDS = ['version', 'routes', 'services', 'limits', 'tenants', '__proto__'];

const ORDER = { service: 's', to: 'v2', duration_s: 60 };

// Guards against VMs that keep an old configuration after an odd one.
test.serial(
  'odd rows of the operator stop nothing, and the next configuration is used',
  async (t) => {
    const { gateway, sendCalls, startAmong } = await setUp(t);
    const { store } = gateway;
    const configuration = buildWireConfiguration({ version: 2 });
    for (const [index, text] of listOddTexts(configuration, CONFIGURATION_FIELDS).entries()) {
      store.writeText(TABLES.operator, CONFIGURATION_KEY, text);
      store.writeText(TABLES.operator, `odd-${index}`, text);
    }
    for (const [index, text] of listOddTexts(ORDER, ['service', 'to', 'duration_s']).entries()) {
      store.writeText(TABLES.operator, `rollout/s${index}`, text);
      store.writeText(TABLES.operator, 'rollout/s', text);
    }
    store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ version: 3 }));
    await gateway.waitForLine('configuration in force', ({ version }) => version === 3);
    t.deepEqual(await sendCalls(20), [200]);
    t.deepEqual(findLongLines(gateway.lines), []);
    const started = await startAmong();
    t.is((await started.send({ target: '/unsafe/x', id: 'call-among', body: 'x' })).status, 200);
  },
);

// Guards against VMs that do not start, or stand still, among odd rows of the tables that VMs write.
test.serial('odd rows of quarantines and of the status stop no VM that starts', async (t) => {
  const { gateway, sendCalls, startAmong } = await setUp(t);
  const { store } = gateway;
  const quarantine = { certain: true, servers: ['i-1'], last_crash_unix_ms: Date.now() };
  const quarantineFields = ['certain', 'servers', 'last_crash_unix_ms', 'trial_store_ms'];
  listOddTexts(quarantine, quarantineFields).forEach((text, index) =>
    store.writeText(TABLES.quarantines, `odd-${index}`, text),
  );
  const many = Array.from({ length: 8000 }, (_, index) => `i-${index}`);
  Array.from({ length: 8 }, (_, index) =>
    store.writeRow(TABLES.quarantines, `many-${index}`, { ...quarantine, servers: many }),
  );
  const status = { state: 'completed', to: 'v2', order: 1, started_ms: 1 };
  listOddTexts(status, Object.keys(status)).forEach((text, index) => {
    store.writeText(TABLES.status, `rollout/s${index}`, text);
    store.writeText(TABLES.status, 'rollout/s', text);
  });
  store.writeRow(TABLES.operator, 'rollout/s', ORDER);
  const startedAtMs = performance.now();
  const started = await startAmong();
  await started.waitForLine('quarantine rows read');
  t.log(`started in ${Math.round(performance.now() - startedAtMs)} ms`);
  t.is((await started.send({ target: '/unsafe/x', id: 'call-among', body: 'x' })).status, 200);
  t.deepEqual(await sendCalls(20), [200]);
  t.deepEqual(findLongLines(started.lines), []);
});
