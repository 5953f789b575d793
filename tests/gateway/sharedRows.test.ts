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

/** A gateway that answers as the test says, and a client that calls it. */
const setUp = async (answer: (request: StatementsRequest) => Promise<StatementsResponse>) => {
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (knowledge) => knowledge,
    handleRequest: answer,
  });
  const server = readOk(
    await startGatewayServer({ handlers, log: QUIET_LOG }, { host: '127.0.0.1', port: 0 }),
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

// Symptom: each VM read the store by itself, as every call to another VM failed within milliseconds.
// Sequence: a VM asks another one, with what is left of its time as the limit of the call.
// Cause: a part of a millisecond is no limit that the protocol takes.
test('a VM is told what another one holds, with ages of any fraction', async (t) => {
  const asked: StatementsRequest[] = [];
  const { address, client, stop } = await setUp(async (request) => {
    asked.push(request);
    return STATEMENTS;
  });
  t.deepEqual(await client.followTables(address, REQUEST, 1749.53), STATEMENTS);
  t.deepEqual(asked[0]?.held, REQUEST.held);
  await stop();
});

test('a call that waits for rows outlasts another one to the same VM that is given up', async (t) => {
  const asked: ((statements: StatementsResponse) => void)[] = [];
  let recordAsked = (): void => undefined;
  const isAsked = new Promise<void>((resolve) => {
    recordAsked = resolve;
  });
  const { address, client, stop } = await setUp(
    () =>
      new Promise((resolve) => {
        asked.push(resolve);
        recordAsked();
      }),
  );
  const waiting = client.followTables(address, REQUEST, 5000);
  await isAsked;
  t.is(await client.followTables(address, REQUEST, 1), null);
  asked[0]?.(STATEMENTS);
  t.deepEqual(await waiting, STATEMENTS);
  await stop();
});

test('a VM that fails to answer is told as such', async (t) => {
  const { address, client, stop } = await setUp(async () => {
    throw new Error('broken');
  });
  t.is(await client.followTables(address, REQUEST, 1000), null);
  await stop();
});
