import { err, ok, type Result } from 'neverthrow';
import type { AttemptAnswer, AttemptError, ForwardClient } from '../../../src/application/ports';
import { createPushedBody } from '../createPushedBody';
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
      const body = createPushedBody();
      const id = `${request.requestId}@${attempts}`;
      engine.start({
        id,
        promptTokens: request.tokens?.prompt ?? 0,
        reservedTokens: (request.tokens?.prompt ?? 0) + (request.tokens?.maxOutput ?? 0),
        events: EVENTS_PER_STREAM - first,
        handleEvent: (event) => {
          body.push(Buffer.from(`id: ${first + event}\ndata: x\n\n`));
          const answer = {
            head: SIMULATED_HEAD,
            relay: null,
            body: body.readChunks(),
            readEnd,
            recordProgress: () => undefined,
          };
          if (event === 1) resolve(ok(answer));
        },
        handleEnd: (isComplete) => {
          body.finish(isComplete ? null : new Error('reset'));
          resolve(err(BROKEN));
        },
      });
      signal.addEventListener('abort', () => {
        engine.cancel(id);
        body.finish(new Error('cancelled'));
        resolve(err(CANCELLED));
      });
    });

  return {
    countAttempts: () => attempts,
    sendAttempt,
    copyRun: async () => err({ reason: 'none', isUnknownRun: false, kept: null }),
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
    probeIdentity: async ({ id }) => (findEngine(id).isUp() ? 'alive' : 'gone'),
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
