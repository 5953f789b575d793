import {
  createLoopbackServer,
  type LoopbackServer,
} from '../../../../../standins/_lib/createLoopbackServer';

/** Backend servers that only report their load, each on its own port. */
export interface Fleet {
  readonly urls: readonly string[];
  stop(): Promise<void>;
}

const MODELS = [
  { model: 'review', version: '1', adapter: '' },
  { model: 'status', version: '1', adapter: '' },
];

const buildReport = (sequence: number): Readonly<Record<string, unknown>> => ({
  sequence,
  running: sequence % 4,
  waiting: 0,
  slots: 8,
  cache_use: 0.5,
  tokens_per_second: 100 + (sequence % 7),
  models: MODELS,
  role: 'serve',
  leaving: false,
  fencing_token: 1,
  age_ms: 200,
});

const startServer = async (): Promise<LoopbackServer> => {
  let sequence = 0;
  const server = createLoopbackServer(0);
  await server.start((request) => {
    if (request.url.includes('/cache-events')) return Response.json({ events: [] });
    sequence += 1;
    return Response.json(buildReport(sequence));
  });
  return server;
};

/**
 * Starts backend servers whose load changes with each report, so that each report is news.
 *
 * They share this process: only the process that polls them is measured.
 */
export async function startFleet(count: number): Promise<Fleet> {
  const servers = await Promise.all(Array.from({ length: count }, startServer));
  return {
    urls: servers.map((server) => `http://127.0.0.1:${server.readPort()}`),
    stop: async () => {
      await Promise.all(servers.map((server) => server.stop()));
    },
  };
}
