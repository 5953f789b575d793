import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer, type HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono, type Context } from 'hono';

/** Environment of the handlers: Node's request and response are in `c.env`. */
export interface ServerEnv {
  Bindings: HttpBindings;
}

/** Faults of a server. */
export interface ServerFaults {
  /** `refuse`: connections are refused; `hang`: no answer; `error`: status 500, no effect. */
  readonly outage: 'none' | 'refuse' | 'hang' | 'error';
  /** Time before each request takes effect. */
  readonly delayMs: number;
  /** The next N writes take effect, and their answer is lost. */
  readonly loseAnswers: number;
  /** How an answer is lost: the connection is closed, or stays open without an answer. */
  readonly loseBy: 'cut' | 'silence';
  /** The next N writes are cut off before they take effect. */
  readonly dropRequests: number;
}

/** Requests that reached the server since the counts were reset. */
export interface ServerCounts {
  readonly reads: number;
  readonly writes: number;
}

/** A server whose faults are set by tests. */
export interface FaultyServer {
  readonly port: number;
  readonly url: string;
  setFaults(change: Partial<ServerFaults>): Promise<void>;
  readFaults(): ServerFaults;
  readCounts(): ServerCounts;
  resetCounts(): void;
  close(): Promise<void>;
}

const NO_FAULTS: ServerFaults = {
  outage: 'none',
  delayMs: 0,
  loseAnswers: 0,
  loseBy: 'cut',
  dropRequests: 0,
};

const LOOPBACK = '127.0.0.1';

const waitForever = (): Promise<Response> => new Promise<Response>(() => {});

const cutConnection = (c: Context<ServerEnv>): Response => {
  c.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
};

const waitMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

async function startListening(server: Server, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
  return (server.address() as AddressInfo).port;
}

async function stopListening(server: Server): Promise<void> {
  if (!server.listening) return;
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

/**
 * Creates a server on a free port of 127.0.0.1 that runs `app` under switchable faults.
 *
 * @param app routes of the stand-in
 * @param isWrite tells whether a request changes state
 */
export async function createFaultyServer(
  app: Hono<ServerEnv>,
  isWrite: (c: Context<ServerEnv>) => boolean,
): Promise<FaultyServer> {
  let faults = NO_FAULTS;
  let counts: ServerCounts = { reads: 0, writes: 0 };
  const takeFault = (kind: 'loseAnswers' | 'dropRequests'): boolean => {
    if (faults[kind] === 0) return false;
    faults = { ...faults, [kind]: faults[kind] - 1 };
    return true;
  };
  const loseAnswer = {
    cut: async (c: Context<ServerEnv>) => cutConnection(c),
    silence: waitForever,
  };

  const outer = new Hono<ServerEnv>();
  outer.all('*', async (c) => {
    const write = isWrite(c);
    counts = write
      ? { ...counts, writes: counts.writes + 1 }
      : { ...counts, reads: counts.reads + 1 };
    if (faults.outage === 'hang') return waitForever();
    if (faults.outage === 'error') return c.text('outage', 500);
    if (write && takeFault('dropRequests')) return cutConnection(c);
    if (faults.delayMs > 0) await waitMs(faults.delayMs);
    const answer = await app.fetch(c.req.raw, c.env);
    return write && takeFault('loseAnswers') ? loseAnswer[faults.loseBy](c) : answer;
  });
  outer.route('/', app);

  const server = createAdaptorServer({ fetch: outer.fetch }) as Server;
  const port = await startListening(server, 0);
  return {
    port,
    url: `http://${LOOPBACK}:${port}`,
    setFaults: async (change) => {
      faults = { ...faults, ...change };
      if (faults.outage === 'refuse') await stopListening(server);
      else if (!server.listening) await startListening(server, port);
    },
    readFaults: () => faults,
    readCounts: () => counts,
    resetCounts: () => {
      counts = { reads: 0, writes: 0 };
    },
    close: () => stopListening(server),
  };
}
