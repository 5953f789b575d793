// Guards against late answers of servers that were silent while the configuration changed: one of
// them made requests that had run run again, or be refused as if they had not.
import test, { type ExecutionContext } from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { buildWireConfiguration } from '../../standins/gateway';
import { formatRawAnswer } from './_lib/formatRawAnswer';
import { startRawServer, type RawRequest, type RawServer } from './_lib/startRawServer';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const SERVER_IDS = ['i-1', 'i-2'];

const LATER_REQUESTS = 60;

/** Requests at once, so that answers and requests overtake each other. */
const CALLERS = 3;

/** Time that a server works on a request. */
const WORK_MS = 10;

/** The configuration that comes into force during the silence. */
const CHANGED_CONFIGURATION = buildWireConfiguration({
  version: 3,
  limits: {
    max_header_bytes: 4096,
    max_body_bytes: 10_000,
    header_timeout_ms: 2000,
    idle_timeout_ms: 3000,
  },
});

/** State that all servers share. */
interface ServerRecord {
  /** Ids of the requests that ran, in order. */
  readonly runs: string[];
  isSilent: boolean;
  /** Servers that refuse all requests. */
  fullIds: readonly string[];
  /** Whether the servers that send no late answer refuse all requests afterwards. */
  readonly areOthersFull: boolean;
  /** Whether the next request on a connection with earlier ones meets a late answer. */
  isLateDue: boolean;
  /** Answers that wait for the end of the silence. */
  readonly held: (() => void)[];
  handleHeld: () => void;
}

const readId = ({ headers }: RawRequest): string => String(headers[HEADERS.requestId] ?? '');

const formatRefusal = (id: string): string =>
  formatRawAnswer(503, { [HEADERS.notRun]: '1', [HEADERS.requestId]: id });

const answerCall = (id: string, request: RawRequest, record: ServerRecord): void => {
  const { earlier, socket } = request;
  const requestId = readId(request);
  if (record.fullIds.includes(id)) {
    socket.write(formatRefusal(requestId));
    return;
  }
  record.runs.push(requestId);
  if (record.isLateDue && earlier > 0) {
    const fullIds = record.areOthersFull ? SERVER_IDS.filter((other) => other !== id) : [];
    Object.assign(record, { isLateDue: false, fullIds });
    socket.write(formatRefusal('request-0'));
  }
  const headers = { [HEADERS.requestId]: requestId, [HEADERS.signature]: 's' };
  setTimeout(() => socket.write(formatRawAnswer(200, headers, requestId)), WORK_MS);
};

/** Starts a server that answers in order, and all at once after a silence. */
const startServer = (id: string, record: ServerRecord): Promise<RawServer> =>
  startRawServer(id, (request) => {
    const { socket } = request;
    const answer = (): void => {
      if (readId(request) !== '') answerCall(id, request, record);
      else socket.write(formatRawAnswer(200, { [HEADERS.serverId]: id }, '{}'));
    };
    if (!record.isSilent) answer();
    else {
      record.held.push(answer);
      if (readId(request) !== '') record.handleHeld();
    }
  });

const sendUnsafe = ({ send }: TestGateway, id: string) =>
  send({ target: '/unsafe/1', id, body: 'x' });

/** Sends requests to silent servers, and changes the configuration before these go on. */
const passSilence = async (gateway: TestGateway, record: ServerRecord): Promise<void> => {
  let heldRequests = 0;
  const areHeld = new Promise<void>((resolve) => {
    Object.assign(record, {
      isSilent: true,
      handleHeld: () => {
        heldRequests += 1;
        if (heldRequests === CALLERS) resolve();
      },
    });
  });
  const answers = Array.from({ length: CALLERS }, (_, index) =>
    sendUnsafe(gateway, `silent-${index}`),
  );
  await areHeld;
  gateway.store.writeRow(TABLES.operator, CONFIGURATION_KEY, CHANGED_CONFIGURATION);
  await gateway.waitForLine('configuration in force', ({ version }) => version === 3);
  Object.assign(record, { isSilent: false });
  record.held.splice(0).forEach((answer) => answer());
  await Promise.all(answers);
};

/** Lists what went wrong with requests after a silence, one late answer among their answers. */
const listBrokenRequests = async (t: ExecutionContext, areOthersFull: boolean) => {
  const record: ServerRecord = {
    runs: [],
    isSilent: false,
    fullIds: SERVER_IDS,
    areOthersFull,
    isLateDue: false,
    held: [],
    handleHeld: () => undefined,
  };
  const servers = await Promise.all(SERVER_IDS.map((id) => startServer(id, record)));
  const gateway = await startTestGateway({ servers });
  t.teardown(() => gateway.stop());
  t.is((await sendUnsafe(gateway, 'request-0')).status, 503);
  record.fullIds = [];
  await passSilence(gateway, record);
  record.isLateDue = true;
  const refused: string[] = [];
  const sendLater = async (caller: number): Promise<void> => {
    for (let index = 0; index < LATER_REQUESTS / CALLERS; index += 1) {
      const id = `later-${caller}-${index}`;
      if ((await sendUnsafe(gateway, id)).status === 503) refused.push(id);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, (_, caller) => sendLater(caller)));
  t.false(record.isLateDue);
  return {
    twice: record.runs.filter((id, index) => record.runs.indexOf(id) !== index),
    refused: refused.filter((id) => record.runs.includes(id)),
  };
};

test('after a silence, a late refusal makes no request run twice', async (t) => {
  t.deepEqual(await listBrokenRequests(t, false), { twice: [], refused: [] });
});

test('after a silence, a late refusal makes no request that ran be refused', async (t) => {
  t.deepEqual(await listBrokenRequests(t, true), { twice: [], refused: [] });
});
