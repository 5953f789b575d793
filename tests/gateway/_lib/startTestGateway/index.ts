import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import { HEADERS, TABLES, CONFIGURATION_KEY } from '../../../../platform';
import type { GatewaySettings } from '../../../../src/domain/forwarding';
import type { Clock, EventFields, EventLog } from '../../../../src/application/ports';
import { startGateway, type Gateway } from '../../../../src/programs/gateway';
import {
  buildGatewaySettings,
  createStandInServer,
  createStandInStore,
  type StandInServer,
  type StandInStore,
} from '../../../../standins/gateway';
import { readOk } from '../../../_lib/readOk';
import { buildWireConfiguration, buildWireEntry, TEST_KEY } from '../../../../standins/gateway';

/** What a caller sends; the rest is filled in. */
export interface TestRequest {
  readonly target: string;
  readonly method?: string;
  readonly id?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An answer, its body read to the end. */
export interface TestAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** False: the connection was closed before the answer had ended. */
  readonly isWhole: boolean;
}

/** An answer that is followed while it comes. */
export interface FollowedAnswer {
  /** Resolves when the body has this text. */
  waitForText(text: string): Promise<void>;
  /** Closes the connection. */
  disconnect(): void;
  readonly done: Promise<TestAnswer>;
}

/** A gateway with a store and servers that a test drives. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly store: StandInStore;
  readonly servers: readonly StandInServer[];
  /** Log lines so far. */
  readonly lines: readonly (EventFields & { readonly message: string })[];
  send(request: TestRequest): Promise<TestAnswer>;
  /** Sends a request, and follows its answer as it comes. */
  follow(request: TestRequest): FollowedAnswer;
  /** Resolves at the next log line of this kind that passes. */
  waitForLine(message: string, passes?: (fields: EventFields) => boolean): Promise<EventFields>;
  stop(): Promise<void>;
}

/** Changes to what a test gateway begins with. */
export interface TestGatewayOptions {
  readonly serverIds?: readonly string[];
  readonly configuration?: object;
  readonly isConfigured?: boolean;
  readonly settings?: Partial<GatewaySettings>;
  readonly clock?: Clock;
  /** Store and servers of another test gateway, which ends them; else own ones. */
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

/** Follows an answer; one that never began has the status 0. */
const followAnswer = (sent: ClientRequest): FollowedAnswer => {
  let body = '';
  let waiters: (() => void)[] = [];
  const done = new Promise<TestAnswer>((resolve) => {
    sent.on('error', () => resolve({ status: 0, headers: {}, body, isWhole: false }));
    sent.on('response', (incoming) => {
      incoming.setEncoding('utf8');
      incoming.on('data', (text: string) => {
        body += text;
        waiters.forEach((look) => look());
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
        const look = (): void => {
          if (!body.includes(text)) return;
          waiters = waiters.filter((waiter) => waiter !== look);
          resolve();
        };
        waiters.push(look);
        look();
      }),
  };
};

/** Starts a gateway in this process, before a store and servers on loopback. */
export const startTestGateway = async (options: TestGatewayOptions = {}): Promise<TestGateway> => {
  const lines: (EventFields & { readonly message: string })[] = [];
  let waiters: (() => void)[] = [];
  const take = (message: string, fields: EventFields): void => {
    lines.push({ ...fields, message });
    waiters.forEach((look) => look());
  };
  const log: EventLog = { info: take, warn: take, error: take };
  const { sharedWith } = options;
  const store = sharedWith?.store ?? (await createStandInStore());
  const serverIds = sharedWith?.servers.map(({ id }) => id) ?? options.serverIds ?? ['i-1', 'i-2'];
  const servers =
    sharedWith?.servers ?? (await Promise.all(serverIds.map((id) => createStandInServer(id))));
  if (!sharedWith) {
    servers.forEach((server, index) => {
      store.writeRow(
        TABLES.servers,
        server.id,
        buildWireEntry(server, { zone: ZONES[index % ZONES.length] }),
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

  const waitForLine: TestGateway['waitForLine'] = (message, passes = () => true) =>
    new Promise((resolve) => {
      const look = (): void => {
        const found = lines.find((line) => line.message === message && passes(line));
        if (!found) return;
        waiters = waiters.filter((waiter) => waiter !== look);
        resolve(found);
      };
      waiters.push(look);
      look();
    });

  const gateway = readOk(
    await startGateway(
      { ...buildGatewaySettings(store.url), ...options.settings },
      { log, ...(options.clock ? { clock: options.clock } : {}) },
    ),
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
    servers,
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
