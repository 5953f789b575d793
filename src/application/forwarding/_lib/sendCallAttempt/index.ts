import type { AnswerHead, ServerEntry } from '../../../../domain/forwarding';
import type { AttemptError } from '../../../ports';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { readBody } from '../readBody';
import { recordResponseHead } from '../recordResponseHead';
import { recordAttemptFailure } from '../recordAttemptFailure';

/** A server's answer, whole. */
export interface BufferedResponse {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** How one attempt ended. */
export type CallAttemptResult =
  | { readonly kind: 'answered'; readonly response: BufferedResponse }
  /** The server did not run it. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly hasArrived: boolean }
  /** It may have run. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly answer: BufferedResponse | null;
      /** True: its connection ended, so that its server may have ended. */
      readonly hasLostConnection: boolean;
    }
  | { readonly kind: 'left' };

const SERVER_ERROR_STATUS = 500;

const NO_ANSWER = { kind: 'failed', answer: null } as const;

const convertError = (error: AttemptError, isTimeout: boolean): CallAttemptResult => {
  if (error.kind === 'not-started') {
    return { kind: 'not-run', reason: error.reason, hasArrived: false };
  }
  if (error.kind === 'cancelled' && !isTimeout) return { kind: 'left' };
  return error.kind === 'broken'
    ? { ...NO_ANSWER, reason: error.reason, hasLostConnection: true }
    : { ...NO_ANSWER, reason: 'no answer in time', hasLostConnection: false };
};

/**
 * Sends a call to one server, and reads its answer to the end.
 *
 * @param options.leftMs - what the server is told of the time that is left
 * @param options.attemptMs - after this time the attempt is given up
 */
export const sendCallAttempt = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  server: ServerEntry,
  options: { readonly leftMs: number; readonly attemptMs: number },
): Promise<CallAttemptResult> => {
  const { client, clock, directory } = dependencies;
  const { holder, reply, request } = context;
  const timeout = new AbortController();
  const cancelTimer = clock.startTimer(options.attemptMs, () => timeout.abort());
  const sentAtMs = clock.readMonotonicMs();
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
      AbortSignal.any([reply.callerLeft, timeout.signal]),
    );
    if (sent.isErr()) {
      recordAttemptFailure(directory, server.id, sent.error);
      return convertError(sent.error, timeout.signal.aborted);
    }
    const { body, head } = sent.value;
    recordResponseHead(dependencies, server, head, { sentAtMs });
    if (!head.isVerified && !head.isNotExecuted) {
      // The answer that is due may still follow on this connection: it is not used again.
      timeout.abort();
      return { ...NO_ANSWER, reason: 'the answer is of another request', hasLostConnection: false };
    }
    const read = await readBody(body);
    if (reply.callerLeft.aborted) return { kind: 'left' };
    if (head.isNotExecuted) {
      return { kind: 'not-run', reason: `status ${head.status}`, hasArrived: true };
    }
    if (read.isErr())
      return { ...NO_ANSWER, reason: read.error, hasLostConnection: !timeout.signal.aborted };
    const answer = { head, body: read.value };
    if (head.status >= SERVER_ERROR_STATUS) {
      return { kind: 'failed', reason: `status ${head.status}`, answer, hasLostConnection: false };
    }
    directory.recordSuccess(server.id);
    return { kind: 'answered', response: answer };
  } finally {
    cancelTimer();
    work.release();
  }
};
