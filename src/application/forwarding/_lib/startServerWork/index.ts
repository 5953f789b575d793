import type { ServerRecord } from '../buildServerRecord';

/** Work of this VM at a server, until it is released. */
export interface ServerWork {
  /** Records that the prompt has been processed and delays other prompts no more. */
  recordFirstEvent(): void;
  release(): void;
}

/** Properties of the work. */
export interface ServerWorkOptions {
  /** Prompt tokens that the server has to process. */
  readonly prefillTokens: number;
  /** Called once the server process that the work was sent to has surely ended. */
  readonly handleLoss?: () => void;
}

/** Counts work at a server; the record is null if the server is no longer known. */
export const startServerWork = (
  record: ServerRecord | null,
  { handleLoss = () => undefined, prefillTokens }: ServerWorkOptions,
): ServerWork => {
  let pendingTokens = prefillTokens;
  let isRunning = true;
  const isProbe = record !== null && record.consecutiveSuspicions > 0;
  if (record) {
    Object.assign(record, {
      probeRequests: record.probeRequests + (isProbe ? 1 : 0),
      running: record.running + 1,
      prefillTokens: record.prefillTokens + pendingTokens,
    });
    record.lossHandlers.add(handleLoss);
  }
  const recordFirstEvent = (): void => {
    if (record) Object.assign(record, { prefillTokens: record.prefillTokens - pendingTokens });
    pendingTokens = 0;
  };
  return {
    recordFirstEvent,
    release: () => {
      if (!isRunning) return;
      isRunning = false;
      recordFirstEvent();
      if (!record) return;
      record.lossHandlers.delete(handleLoss);
      Object.assign(record, {
        running: record.running - 1,
        probeRequests: isProbe ? Math.max(0, record.probeRequests - 1) : record.probeRequests,
      });
    },
  };
};
