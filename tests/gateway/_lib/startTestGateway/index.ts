import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { HEADERS, TABLES, CONFIGURATION_KEY } from '../../../../platform';
import type { GatewaySettings } from '../../../../src/domain/forwarding';
import type { Clock, EventFields, EventLog } from '../../../../src/application/ports';
import { startGateway, type Gateway } from '../../../../src/programs/gateway';
import type { SchedulingFactories } from '../../../../src/programs/gateway/types';
import { createSteadyClock } from '../../../../standins/fakes';
import {
  buildGatewaySettings,
  createStandInServer,
  createStandInStore,
  type StandInServer,
  type StandInStore,
} from '../../../../standins/gateway';
import { readOk } from '../../../_lib/readOk';
import { createLogLines, type GatewayLine, type LogLines } from '../createLogLines';
import { buildWireConfiguration, buildWireEntry, TEST_KEY } from '../../../../standins/gateway';

/** Request of a caller; omitted fields have defaults. */
export interface TestRequest {
  readonly target: string;
  readonly method?: string;
  readonly id?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer with its whole body. */
export interface TestAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** False if the connection was closed before the end of the answer. */
  readonly isWhole: boolean;
}

/** An answer that is read while it arrives. */
export interface FollowedAnswer {
  /** Resolves once the body contains the text. */
  waitForText(text: string): Promise<void>;
  /** Closes the connection. */
  disconnect(): void;
  readonly done: Promise<TestAnswer>;
}

/** A gateway with a fake store and fake servers that a test controls. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly store: StandInStore;
  readonly servers: readonly StandInServer[];
  /** Log lines so far. */
  readonly lines: LogLines['lines'];
  send(request: TestRequest): Promise<TestAnswer>;
  /** Sends a request and reads its answer while it arrives. */
  follow(request: TestRequest): FollowedAnswer;
  /** Resolves with the first log line that has this message and passes the filter. */
  waitForLine(message: string, passes?: (fields: EventFields) => boolean): Promise<EventFields>;
  stop(): Promise<void>;
}

/** Options of a test gateway. */
export interface TestGatewayOptions {
  readonly serverIds?: readonly string[];
  /** Running servers, in place of new ones. */
  readonly servers?: readonly Pick<StandInServer, 'address' | 'id' | 'stop'>[];
  /** Changes of the servers' entries. */
  readonly entry?: object;
  readonly configuration?: object;
  readonly isConfigured?: boolean;
  readonly settings?: Partial<GatewaySettings>;
  readonly clock?: Clock;
  readonly scheduling?: SchedulingFactories;
  /** Another test gateway whose store and servers are shared, and which stops them. */
  readonly sharedWith?: Pick<TestGateway, 'servers' | 'store'>;
}

const ZONES = ['z1', 'z2', 'z3'];

const buildHeaders = ({ body, headers, id }: TestRequest): Record<string, string> => ({
  host: 'a.example',
  [HEADERS.requestId]: id ?? 'request-1',
  [HEADERS.deadlineMs]: '4000',
  [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
  ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }),
  ...headers,
});

/** Reads an answer while it arrives; the status is 0 if no response begins. */
const followAnswer = (sent: ClientRequest): FollowedAnswer => {
  let body = '';
  let waiters: (() => void)[] = [];
  const done = new Promise<TestAnswer>((resolve) => {
    sent.on('error', () => resolve({ status: 0, headers: {}, body, isWhole: false }));
    sent.on('response', (incoming) => {
      incoming.setEncoding('utf8');
      incoming.on('data', (text: string) => {
        body += text;
        waiters.forEach((check) => check());
      });
      incoming.on('error', () => undefined);
      incoming.on('close', () =>
        resolve({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body,
          isWhole: incoming.complete,
        }),
      );
    });
  });
  return {
    done,
    disconnect: () => sent.destroy(),
    waitForText: (text) =>
      new Promise((resolve) => {
        const check = (): void => {
          if (!body.includes(text)) return;
          waiters = waiters.filter((waiter) => waiter !== check);
          resolve();
        };
        waiters.push(check);
        check();
      }),
  };
};

/** Starts a gateway in this process, with a fake store and fake servers on loopback. */
export const startTestGateway = async (options: TestGatewayOptions = {}): Promise<TestGateway> => {
  const { sharedWith } = options;
  const store = sharedWith?.store ?? (await createStandInStore());
  const settings = { ...buildGatewaySettings(store.url), ...options.settings };
  const { addLine, lines, waitForLines } = createLogLines(settings.vm);
  const record = (message: string, fields: EventFields): void => addLine({ ...fields, message });
  const log: EventLog = { info: record, warn: record, error: record };
  const given = sharedWith?.servers ?? options.servers;
  const serverIds = given?.map(({ id }) => id) ?? options.serverIds ?? ['i-1', 'i-2'];
  const servers = given ?? (await Promise.all(serverIds.map((id) => createStandInServer(id))));
  if (!sharedWith) {
    servers.forEach((server, index) => {
      store.writeRow(
        TABLES.servers,
        server.id,
        buildWireEntry(server, { zone: ZONES[index % ZONES.length], ...options.entry }),
      );
    });
  }
  const configure = (): void =>
    store.writeRow(
      TABLES.operator,
      CONFIGURATION_KEY,
      buildWireConfiguration(options.configuration),
    );
  if (options.isConfigured !== false && !sharedWith) configure();

  const waitForLine: TestGateway['waitForLine'] = async (message, passes = () => true) => {
    const isFound = (line: GatewayLine): boolean => line.message === message && passes(line);
    await waitForLines(message, (known) => known.some(isFound));
    return lines.find(isFound) ?? {};
  };

  const gateway = readOk(
    await startGateway(settings, {
      log,
      clock: options.clock ?? createSteadyClock(),
      ...(options.scheduling ? { scheduling: options.scheduling } : {}),
    }),
  );
  if (options.isConfigured !== false) await waitForLine('configuration in force');
  await Promise.all(
    serverIds.map((id) => waitForLine('server known', ({ server }) => server === id)),
  );

  const follow = (request: TestRequest): FollowedAnswer => {
    const { hostname, port } = new URL(gateway.callerUrl);
    const sent = sendRequest({
      hostname,
      port,
      path: request.target,
      method: request.method ?? (request.body === undefined ? 'GET' : 'POST'),
      headers: buildHeaders(request),
      agent: false,
    });
    sent.end(request.body);
    return followAnswer(sent);
  };

  return {
    gateway,
    store,
    // Given servers may be of another kind, which the test controls itself.
    servers: servers as readonly StandInServer[],
    lines,
    follow,
    send: (request) => follow(request).done,
    waitForLine,
    stop: async () => {
      await gateway.stop();
      if (!sharedWith) await Promise.all([store.stop(), ...servers.map((server) => server.stop())]);
    },
  };
};
