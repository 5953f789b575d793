import test from 'ava';
import {
  createGatewayClient,
  createGatewayHandlers,
  startGatewayServer,
} from '../../src/adapters/connect';
import type { StatementsResponse, StatementsRequest } from '../../src/application/rows';
import { QUIET_LOG } from '../../standins/fakes';
import { readOk } from '../_lib/readOk';
import { buildStubServices } from './_lib/buildStubServices';

const STATEMENTS: StatementsResponse = {
  heldMs: 12.5,
  isCutOff: false,
  tables: [
    {
      table: 'op',
      after: 3,
      version: 9,
      rows: [
        { key: 'large', value: Buffer.from('route '.repeat(4000)), version: 5 },
        { key: 'gone', value: null, version: 9 },
      ],
      ageMs: 0.25,
      outageEndedAgoMs: -3.5,
    },
    { table: 'servers', after: 0, version: 9, rows: [], ageMs: Infinity, outageEndedAgoMs: null },
  ],
};

/** Starts a gateway with the given handler, and a client that calls it. */
const setUp = async (answer: (request: StatementsRequest) => Promise<StatementsResponse>) => {
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (knowledge) => knowledge,
    handleRequest: answer,
  });
  const server = readOk(
    await startGatewayServer(
      { handlers, log: QUIET_LOG, relay: { handleRequest: async () => undefined } },
      { host: '127.0.0.1', port: 0 },
    ),
  );
  const client = createGatewayClient();
  const stop = async (): Promise<void> => {
    client.close();
    await server.stop();
  };
  return { address: new URL(server.url).host, client, stop };
};

const REQUEST = {
  held: [
    { table: 'op', version: 3, ageMs: 1249.53 },
    { table: 'servers', version: 0, ageMs: Infinity },
  ],
  waitMs: 1499.7,
};

// Guards against calls between VMs that fail within milliseconds, so that each VM reads the store
// by itself. The remaining time was passed on as the timeout of the call, and the protocol accepts
// no fractions of a millisecond.
test('a VM learns the rows that another one holds, with fractional ages', async (t) => {
  const asked: StatementsRequest[] = [];
  const { address, client, stop } = await setUp(async (request) => {
    asked.push(request);
    return STATEMENTS;
  });
  t.deepEqual(await client.followTables(address, REQUEST, 1749.53), STATEMENTS);
  t.deepEqual(asked[0]?.held, REQUEST.held);
  await stop();
});

test('a waiting call survives when another call to the same VM times out', async (t) => {
  const asked: ((statements: StatementsResponse) => void)[] = [];
  let resolveAsked = (): void => undefined;
  const isAsked = new Promise<void>((resolve) => {
    resolveAsked = resolve;
  });
  const { address, client, stop } = await setUp(
    () =>
      new Promise((resolve) => {
        asked.push(resolve);
        resolveAsked();
      }),
  );
  const waiting = client.followTables(address, REQUEST, 5000);
  await isAsked;
  t.is(await client.followTables(address, REQUEST, 1), null);
  asked[0]?.(STATEMENTS);
  t.deepEqual(await waiting, STATEMENTS);
  await stop();
});

test('a call to a VM that fails to answer returns null', async (t) => {
  const { address, client, stop } = await setUp(async () => {
    throw new Error('broken');
  });
  t.is(await client.followTables(address, REQUEST, 1000), null);
  await stop();
});
