import {
  formatIncarnation,
  isRefusalUnstated,
  RouteKind,
  type AnswerHead,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { AttemptEnd, ConnectionEnd } from '../../../../domain/crashes';
import type { AttemptAnswer, AttemptError, EventFields } from '../../../ports';
import { startLoop } from '../../../time';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { buildFailureFields, REFUSAL_FIELDS } from '../buildFailureFields';
import { logDecision } from '../logDecision';
import { readBody } from '../readBody';
import { recordResponseHead } from '../recordResponseHead';
import { recordAttemptFailure } from '../recordAttemptFailure';

/** A fully buffered response of a server. */
export interface BufferedResponse {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** The result of one attempt. */
export type CallAttemptResult =
  | {
      readonly kind: 'answered';
      readonly response: BufferedResponse;
      readonly end: AttemptEnd;
    }
  /** The server did not run the call. */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      readonly hasArrived: boolean;
      /** True if the server had no room for the call. */
      readonly isRejected: boolean;
      readonly fields: EventFields;
    }
  /** The call may have run. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly response: BufferedResponse | null;
      readonly end: AttemptEnd;
      readonly fields: EventFields;
    }
  | { readonly kind: 'left'; readonly end: AttemptEnd };

/** From this status on, the server refused the call or failed: the time says nothing of its work. */
const CLIENT_ERROR_STATUS = 400;
const SERVER_ERROR_STATUS = 500;

const NO_RESPONSE = { kind: 'failed', response: null, fields: {} } as const;

/** Builds the end of an attempt that is seen now. */
type EndBuilder = (
  end: Pick<AttemptEnd, 'progress' | 'relay'>,
  connection: ConnectionEnd,
) => AttemptEnd;

const convertError = (
  error: AttemptError,
  isTimeout: boolean,
  buildEnd: EndBuilder,
): CallAttemptResult => {
  const { connection, kind, reason, relay } = error;
  const fields = buildFailureFields(error);
  if (kind === 'not-started')
    return { kind: 'not-run', reason, hasArrived: false, isRejected: false, fields };
  const seen = { relay, progress: 'none' } as const;
  if (kind === 'broken') return { ...NO_RESPONSE, reason, end: buildEnd(seen, connection), fields };
  return isTimeout
    ? { ...NO_RESPONSE, reason: 'no answer in time', end: buildEnd(seen, 'silent') }
    : { kind: 'left', end: buildEnd(seen, connection) };
};

/** Tells how the connection of an answer ended whose body was not read to its end. */
const readBrokenEnd = (
  { readEnd }: AttemptAnswer,
  error: unknown,
  isTimeout: boolean,
): ConnectionEnd => {
  if (isTimeout) return 'silent';
  return error === null ? 'dropped' : readEnd(error);
};

/** Options of one attempt. */
export interface CallAttemptOptions {
  /** Remaining time that the server is told. */
  readonly leftMs: number;
  /** Time after which the attempt is given up if another one may follow. */
  readonly attemptMs: number;
  /** Reserves what another attempt needs; without it the attempt goes on as long as the call. */
  readonly reserveNext: () => Promise<boolean>;
}

/** Time until it is asked again whether another attempt may follow. */
const RESERVE_INTERVAL_MS = 250;

/** Sends a call to one server and reads the whole response. */
export const sendCallAttempt = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  server: ServerEntry,
  options: CallAttemptOptions,
): Promise<CallAttemptResult> => {
  const { client, clock, directory, paths, serverPaces } = dependencies;
  const { holder, reply, request } = context;
  const timeoutController = new AbortController();
  const sentAtMs = clock.readMonotonicMs();
  const stopTimeout = startLoop({
    clock,
    firstDelayMs: options.attemptMs,
    runStep: async () => {
      const readLeftMs = (): number => sentAtMs + options.leftMs - clock.readMonotonicMs();
      // The server may still answer: without another attempt nobody else would.
      if (readLeftMs() > 0 && !(await options.reserveNext()))
        return Math.min(RESERVE_INTERVAL_MS, readLeftMs());
      timeoutController.abort();
      return null;
    },
    handleFailure: () => RESERVE_INTERVAL_MS,
  });
  const buildEnd: EndBuilder = (seen, connection) => ({
    ...seen,
    connection,
    sentAtMs,
    beganAtMs: sentAtMs,
    heardSinceMs: sentAtMs,
    endedAtMs: clock.readMonotonicMs(),
  });
  const work = directory.startWork(server.id, { prefillTokens: 0 });
  try {
    const sent = await client.sendAttempt(
      {
        server,
        request,
        workspace: holder?.workspace ?? null,
        priority: context.priority,
        remainingMs: options.leftMs,
        lastEventId: null,
        backupAddress: null,
        copy: null,
        newConnection: false,
      },
      AbortSignal.any([reply.callerLeft, timeoutController.signal]),
    );
    if (sent.isErr()) {
      recordAttemptFailure(directory, server.id, sent.error);
      if (timeoutController.signal.aborted) paths.recordFailure(server.id, 'silent');
      return convertError(sent.error, timeoutController.signal.aborted, buildEnd);
    }
    const { body, head, relay } = sent.value;
    if (relay !== null) logDecision(dependencies, context, 'attempt relayed', { relay }, server);
    const seen = { relay, progress: 'head' } as const;
    recordResponseHead(dependencies, server, head, { relay, sentAtMs });
    if (!head.isVerified && !head.isNotExecuted) {
      // The expected response may still arrive on this connection, so that it must not be reused.
      timeoutController.abort();
      return {
        ...NO_RESPONSE,
        reason: 'the response is not the signed one of the server',
        end: buildEnd(seen, 'dropped'),
      };
    }
    const read = await readBody(body, reply.acquireBytes);
    if (reply.callerLeft.aborted) return { kind: 'left', end: buildEnd(seen, 'dropped') };
    if (head.isNotExecuted) {
      const isRejected = !head.isFromOtherServer;
      return {
        kind: 'not-run',
        reason: `status ${head.status}`,
        hasArrived: true,
        isRejected,
        fields: REFUSAL_FIELDS,
      };
    }
    if (read.isErr())
      return {
        ...NO_RESPONSE,
        reason: read.error.reason,
        end: buildEnd(
          seen,
          readBrokenEnd(sent.value, read.error.error, timeoutController.signal.aborted),
        ),
      };
    const connection = sent.value.readEnd(null);
    if (connection === 'closed' && read.value.length === 0) {
      // Without a length, a response that a crash cut off before its body looks like an empty one.
      const reason = 'the connection ended before the body';
      return { ...NO_RESPONSE, reason, end: buildEnd(seen, connection) };
    }
    const end = buildEnd({ relay, progress: 'whole' }, connection);
    // Its caller would take the call for one that did not run, and repeat it.
    if (context.route.kind === RouteKind.Once && isRefusalUnstated(head))
      return { ...NO_RESPONSE, reason: `status ${head.status} of a call that may have run`, end };
    const response = { head, body: read.value };
    if (head.status >= SERVER_ERROR_STATUS) {
      return {
        kind: 'failed',
        reason: `status ${head.status}`,
        response,
        end,
        fields: {},
      };
    }
    directory.recordSuccess(server.id, sentAtMs);
    if (head.status < CLIENT_ERROR_STATUS) {
      serverPaces.record(
        { service: server.service, incarnation: formatIncarnation(server) },
        {
          kind: 'call',
          tookMs: clock.readMonotonicMs() - sentAtMs,
          workFactor: head.load?.workFactor ?? 1,
        },
      );
    }
    return { kind: 'answered', response, end };
  } finally {
    stopTimeout();
    work.release();
  }
};
