import type { Dispatcher } from 'undici';

/** Answer of one of the platform's services, of any status. */
export interface PlatformAnswer {
  readonly status: number;
  readonly content: Uint8Array;
}

/** Collects one answer, and knows whether the request's bytes may have left. */
export interface AnswerCollector {
  readonly handler: Dispatcher.DispatchHandler;
  readonly answer: Promise<PlatformAnswer>;
  isSent(): boolean;
  /** Ends the request; one that waits for a connection is never sent afterwards. */
  abort(reason: Error): void;
}

/** Creates a collector of one answer of undici. */
export function createAnswerCollector(): AnswerCollector {
  let controller: Dispatcher.DispatchController | null = null;
  let abortReason: Error | null = null;
  let status = 0;
  const chunks: Buffer[] = [];
  let settle = { resolve: (_: PlatformAnswer): void => {}, reject: (_: Error): void => {} };
  const answer = new Promise<PlatformAnswer>((resolve, reject) => {
    settle = { resolve, reject };
  });
  // A deadline that passes while the request is still being signed rejects before anyone awaits,
  // which would end the process as an unhandled rejection; who awaits later still gets it.
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
        // A request whose deadline passed in the queue would else still take effect, after its
        // caller was told that it had none: a claim nobody holds. undici sends nothing if it is
        // aborted here.
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
