import type { Dispatcher } from 'undici';

/** Answer of one of the platform's services, with any status. */
export interface PlatformAnswer {
  readonly status: number;
  readonly content: Uint8Array;
}

/** Collects one answer, and records whether the request may have been sent. */
export interface AnswerCollector {
  readonly handler: Dispatcher.DispatchHandler;
  readonly answer: Promise<PlatformAnswer>;
  isSent(): boolean;
  /** Aborts the request; a request still queued for a connection is never sent. */
  abort(reason: Error): void;
}

/** Creates a collector of one answer, as a handler of undici's dispatch. */
export function createAnswerCollector(): AnswerCollector {
  let controller: Dispatcher.DispatchController | null = null;
  let abortReason: Error | null = null;
  let status = 0;
  const chunks: Buffer[] = [];
  let settle = { resolve: (_: PlatformAnswer): void => {}, reject: (_: Error): void => {} };
  const answer = new Promise<PlatformAnswer>((resolve, reject) => {
    settle = { resolve, reject };
  });
  // If the deadline passes while the request is being signed, the promise rejects before anything
  // awaits it, and the unhandled rejection would end the process. A later `await` still throws.
  answer.catch(() => {});
  return {
    answer,
    isSent: () => controller !== null,
    abort: (reason) => {
      abortReason = reason;
      controller?.abort(reason);
      settle.reject(reason);
    },
    handler: {
      onRequestStart: (newController) => {
        // A request whose deadline passed in the queue would otherwise still take effect after its
        // caller was told that it had none, for example as a claim without a holder. undici sends
        // nothing if the request is aborted here.
        if (abortReason === null) controller = newController;
        else newController.abort(abortReason);
      },
      onResponseStart: (_, statusCode) => {
        status = statusCode;
      },
      onResponseData: (_, chunk) => {
        chunks.push(chunk);
      },
      onResponseEnd: () =>
        settle.resolve({ status, content: new Uint8Array(Buffer.concat(chunks)) }),
      onResponseError: (_, error) => settle.reject(error),
    },
  };
}
