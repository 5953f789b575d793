import { fromBinary, toBinary } from '@bufbuild/protobuf';
import test, { type ExecutionContext } from 'ava';
import fc from 'fast-check';
import { decodeServerEntry, TABLES } from '../../platform';
import {
  buildKnowledgeMessage,
  readKnowledgeMessage,
} from '../../src/adapters/connect/_lib/convertKnowledge';
import { KnowledgeSchema } from '../../src/adapters/connect/gen/gateway_pb';
import type { Knowledge } from '../../src/application/gossip';
import { buildWireEntry, createStandInServer, type StandInServer } from '../../standins/gateway';
import { startTestGateway } from './_lib/startTestGateway';

const VALID_ENTRY = buildWireEntry({ address: '10.0.0.1:80' });

const decode = (change: object) =>
  decodeServerEntry('i-1', Buffer.from(JSON.stringify({ ...VALID_ENTRY, ...change })));

const NO_KNOWLEDGE: Knowledge = {
  sender: { vm: 'vm-1', address: '127.0.0.1:1', availabilityZone: 'z1', cores: 1, ageMs: 0 },
  sent: null,
  members: [],
  isMembersAsked: false,
  heard: new Map(),
  versions: new Map(),
  changes: [],
  suspicions: [],
  inferred: [],
  outcomes: [],
  outcomesDigest: 0,
  verdicts: [],
  limits: [],
};

const UNUSABLE_ADDRESSES = [
  '',
  ' ',
  '10.0.0.1',
  '10.0.0.1:',
  ':80',
  '10.0.0.1:0',
  '10.0.0.1:00080',
  '10.0.0.1:65536',
  '10.0.0.1:99999',
  '10.0.0.1:1e3',
  '10.0.0.1:-1',
  '10.0.0.1:80 ',
  ' 10.0.0.1:80',
  '10.0.0.1:80\n',
  '10.0.0.1:80/x',
  '10.0.0.1:80?x',
  '10.0.0.1:80#x',
  'a@10.0.0.1:80',
  'a:b@10.0.0.1:80',
  'http://10.0.0.1:80',
  '10.0.0:80',
  '10.0.0.1.1:80',
  '10.0.0.256:80',
  '10.0.0.08:80',
  '010.0.0.1:80',
  '0.0.0.0:80',
  '0.1.2.3:80',
  '224.0.0.1:80',
  '255.255.255.255:80',
  '167772161:80',
  '0xa000001:80',
  '١0.0.0.1:80',
  'localhost:80',
  'host.example:80',
  '::1',
  '[::1]:80',
  '[::ffff:10.0.0.1]:80',
];

test('an address that nothing can be connected to is refused', (t) => {
  UNUSABLE_ADDRESSES.forEach((address) => {
    t.regex(decode({ address })._unsafeUnwrapErr(), /^address: /, JSON.stringify(address));
  });
  ['10.0.0.1:80', '127.0.0.1:1', '192.168.0.255:65535', '223.1.2.3:8080'].forEach((address) =>
    t.is(decode({ address })._unsafeUnwrap().address, address),
  );
});

const PART = fc.oneof(
  fc.nat(300).map(String),
  fc.nat(300).map((part) => `0${part}`),
  fc.nat(300).map((part) => part.toString(16)),
);

const ANY_ADDRESS = fc.oneof(
  fc
    .tuple(fc.array(PART, { minLength: 3, maxLength: 5 }), fc.nat(70_000))
    .map(([parts, port]) => `${parts.join('.')}:${port}`),
  fc
    .tuple(fc.ipV4(), fc.oneof(fc.nat(70_000).map(String), fc.string()))
    .map((all) => all.join(':')),
  fc.tuple(fc.ipV6(), fc.nat(70_000)).map(([ip, port]) => `[${ip}]:${port}`),
  fc.string(),
);

test('an HTTP client reads each accepted address as the same address', (t) => {
  fc.assert(
    fc.property(ANY_ADDRESS, (address) => {
      const decoded = decode({ address });
      if (decoded.isErr()) return;
      const { host, href } = new URL(`http://${address}`);
      t.is(host, address.replace(/:80$/, ''));
      t.is(href, `http://${host}/`);
    }),
    { seed: 67, numRuns: 5000 },
  );
});

// Guards against a VM that can tell the others nothing more: no message holds the slots that it
// took from the entry of a server that ended.
test('the number of slots of each accepted entry can be told to other VMs', (t) => {
  [0, 0.5, -1, 1.5, 2 ** 32, 1e300, '8', null].forEach((slots) =>
    t.regex(decode({ slots })._unsafeUnwrapErr(), /^slots: /, String(slots)),
  );
  [1, 8, 2 ** 32 - 1].forEach((slots) => {
    const inferred = [decode({ slots })._unsafeUnwrap()];
    const message = buildKnowledgeMessage({ ...NO_KNOWLEDGE, inferred });
    const told = fromBinary(KnowledgeSchema, toBinary(KnowledgeSchema, message));
    t.is(readKnowledgeMessage(told)?.inferred[0]?.slots, slots);
  });
});

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
  return { gateway, addServer, sendCalls };
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
