import { err, ok, type Result } from 'neverthrow';
import type { AttemptAnswer, AttemptError, ForwardClient } from '../../../src/application/ports';
import type { SimulatedEngine } from '../createSimulatedEngine';

/** A client that counts its attempts. */
export interface SimulatedClient extends ForwardClient {
  /** Attempts that reached an engine. */
  countAttempts(): number;
}

const EVENTS_PER_STREAM = 140;

/** Head of the response to each attempt. */
export const SIMULATED_HEAD = {
  status: 200,
  forwardedHeaders: [],
  isVerified: true,
  isFramed: true,
  isNotExecuted: false,
  isFromOtherServer: false,
  serverId: null,
  load: null,
  isLeaving: false,
  limitPerS: null,
  maxRejectionsPerS: null,
  pauseMs: 0,
};

const DIRECT = { reason: 'simulated', relay: null };

/** Failures of attempts that were sent directly. */
export const REFUSED: AttemptError = { ...DIRECT, kind: 'not-started', connection: 'unsent' };
export const BROKEN: AttemptError = { ...DIRECT, kind: 'broken', connection: 'reset' };
const CANCELLED: AttemptError = { ...DIRECT, kind: 'cancelled', connection: 'dropped' };

/** Tells how the connection of a response with a length ended. */
export const readEnd: AttemptAnswer['readEnd'] = (error) => (error === null ? 'complete' : 'reset');

/** Creates a client that forwards attempts to simulated engines. */
export const createSimulatedClient = (
  findEngine: (id: string) => SimulatedEngine,
): SimulatedClient => {
  let attempts = 0;

  const sendAttempt: ForwardClient['sendAttempt'] = ({ lastEventId, request, server }, signal) =>
    new Promise<Result<AttemptAnswer, AttemptError>>((resolve) => {
      const engine = findEngine(server.id);
      if (!engine.isUp()) {
        resolve(err(REFUSED));
        return;
      }
      attempts += 1;
      const first = lastEventId ?? 0;
      const chunks: Buffer[] = [];
      const state: { wake: () => void; end: 'complete' | 'failed' | null } = {
        wake: () => undefined,
        end: null,
      };
      const waitForChunk = (): Promise<void> =>
        new Promise((next) => {
          state.wake = next;
        });
      async function* readBody(): AsyncGenerator<Buffer> {
        for (;;) {
          const chunk = chunks.shift();
          if (chunk) yield chunk;
          else if (state.end === 'failed') throw new Error('reset');
          else if (state.end === 'complete') return;
          else {
            await waitForChunk();
          }
        }
      }
      const id = `${request.requestId}@${attempts}`;
      engine.start({
        id,
        promptTokens: request.tokens?.prompt ?? 0,
        reservedTokens: (request.tokens?.prompt ?? 0) + (request.tokens?.maxOutput ?? 0),
        events: EVENTS_PER_STREAM - first,
        handleEvent: (event) => {
          chunks.push(Buffer.from(`id: ${first + event}\ndata: x\n\n`));
          if (event === 1)
            resolve(ok({ head: SIMULATED_HEAD, relay: null, body: readBody(), readEnd }));
          state.wake();
        },
        handleEnd: (isComplete) => {
          state.end = isComplete ? 'complete' : 'failed';
          resolve(err(BROKEN));
          state.wake();
        },
      });
      signal.addEventListener('abort', () => {
        engine.cancel(id);
        state.end = 'failed';
        resolve(err(CANCELLED));
        state.wake();
      });
    });

  return {
    countAttempts: () => attempts,
    sendAttempt,
    copyRun: async () => err({ reason: 'none', kept: null }),
    dropCopy: () => undefined,
    readReport: async (server) => {
      const report = findEngine(server.id).readReport();
      if (!report?.eventsByRun) return report;
      // Engines report runs under the caller's request id, without the suffix of the attempt.
      const eventsByRun = new Map(
        [...report.eventsByRun].map(([id, events]) => [id.split('@')[0] ?? id, events]),
      );
      return { ...report, eventsByRun };
    },
    readIdentity: async ({ id }) => ({
      id,
      isLeaving: false,
      limitPerS: null,
      maxRejectionsPerS: null,
      load: null,
    }),
    readCachedPromptParts: async () => new Map(),
    removeServer: () => undefined,
  };
};
