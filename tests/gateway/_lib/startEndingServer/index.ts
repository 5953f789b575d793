import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { HEADERS, PATHS } from '../../../../platform';
import { readBody } from '../../../../standins/_lib/readBody';
import { formatEvents } from '../formatEvents';
import { listenOnLoopback, type LoopbackListener } from '../listenOnLoopback';

/** A server whose runs end by themselves just before they are stopped. */
export interface EndingServer extends LoopbackListener {
  readonly id: string;
}

const NOT_FOUND_STATUS = 404;

/**
 * Starts a server that sends some events of each stream at once. A run has ended when it is asked
 * to stop for the rest of its copy.
 */
export const startEndingServer = async (id: string, events: number): Promise<EndingServer> => {
  const runs = new Map<string, ServerResponse>();

  const startRun = ({ headers }: IncomingMessage, response: ServerResponse): void => {
    const run = String(headers[HEADERS.requestId]);
    response.on('close', () => runs.delete(run));
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [HEADERS.requestId]: run,
      [HEADERS.signature]: 'stand-in-stamp',
    });
    response.flushHeaders();
    const sent = Number(headers[HEADERS.lastEventId] ?? 0);
    if (sent < events) response.write(formatEvents(sent + 1, events));
    // A run that goes on after its last event has nothing left.
    if (sent < events) runs.set(run, response);
    else response.end();
  };

  const copyRun = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { id: run, last } = JSON.parse(await readBody(request)) as { id: string; last: boolean };
    if (last) runs.get(run)?.end(() => response.writeHead(NOT_FOUND_STATUS).end());
    else response.end(JSON.stringify({ handle: `handle-${run}`, created: events }));
  };

  const sendReport = (response: ServerResponse): void => {
    const list = [...runs.keys()].map((run) => [run, 100, events, 5]);
    const report = { queued: 0, active: runs.size, kv_used: 0, kv_total: 88_000, runs: list };
    response.end(JSON.stringify(report));
  };

  const server = createServer((request, response) => {
    if (request.url === PATHS.copyRun) copyRun(request, response);
    else if (request.url === PATHS.report) sendReport(response);
    else if (request.url === PATHS.cachedPromptParts) {
      response.end(JSON.stringify({ epoch: 1, next: 1, held: [] }));
    } else if (request.method === 'POST') startRun(request, response);
    else response.setHeader(HEADERS.serverId, id).end();
  });
  return { id, ...(await listenOnLoopback(server)) };
};
