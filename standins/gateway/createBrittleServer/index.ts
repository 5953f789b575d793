import { HEADERS } from '../../../platform';
import type { Clock } from '../../../src/application/ports';
import { createStandInServer, type StandInServer } from '../createStandInServer';

/** How a brittle server behaves. */
export interface BrittleServerOptions {
  /** Requests that run at a time; none waits. */
  readonly slots: number;
  readonly serviceMs: number;
  /** Rejections within a second above which the server falls over. */
  readonly maxRejectionsPerS: number;
  /** Time for which a server that fell over resets all requests. */
  readonly downMs: number;
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
}

/** A stand-in server without a queue that falls over if it has to reject too many requests. */
export interface BrittleServer {
  readonly server: StandInServer;
  countFalls(): number;
  countServed(): number;
}

const WINDOW_MS = 1000;

/** Starts a brittle server that answers each request after its service time. */
export const createBrittleServer = async (
  id: string,
  { clock, downMs, maxRejectionsPerS, serviceMs, slots }: BrittleServerOptions,
): Promise<BrittleServer> => {
  const server = await createStandInServer(id);
  const headers = { [HEADERS.brittle]: String(maxRejectionsPerS) };
  let running = 0;
  let served = 0;
  let falls = 0;
  let downUntilMs = -Infinity;
  let rejectedAtMs: readonly number[] = [];

  const reject = (nowMs: number): void => {
    rejectedAtMs = [...rejectedAtMs.filter((atMs) => atMs > nowMs - WINDOW_MS), nowMs];
    if (rejectedAtMs.length <= maxRejectionsPerS) return;
    falls += 1;
    downUntilMs = nowMs + downMs;
    rejectedAtMs = [];
  };

  server.addListener(() => {
    const request = server.takeRequest();
    if (!request) return;
    const nowMs = clock.readMonotonicMs();
    if (nowMs < downUntilMs) {
      request.socket.resetAndDestroy();
      return;
    }
    if (running >= slots) {
      server.answer(request, 503, 'full', { ...headers, [HEADERS.notRun]: '1' });
      reject(nowMs);
      return;
    }
    running += 1;
    clock.startTimer(serviceMs, () => {
      running -= 1;
      served += 1;
      server.answer(request, 200, 'yes', headers);
    });
  });
  return { server, countFalls: () => falls, countServed: () => served };
};
