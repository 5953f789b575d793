import type { ServerRecord } from '../buildServerRecord';

/** Work that this VM has at a server, until it is released. */
export interface ServerWork {
  /** The prompt has been read: it delays others no more. */
  recordFirstEvent(): void;
  release(): void;
}

/** What is sent to a server. */
export interface ServerWorkOptions {
  /** Tokens of the prompt that it has to read. */
  readonly prefillTokens: number;
  /** Called once it is known that the server is not the one any more that this was sent to. */
  readonly handleLoss?: () => void;
}

/** Counts work at a server; null is one that is not known any more. */
export const startServerWork = (
  record: ServerRecord | null,
  { handleLoss = () => undefined, prefillTokens }: ServerWorkOptions,
): ServerWork => {
  let unread = prefillTokens;
  let isRunning = true;
  const isTrial = record !== null && record.consecutiveSuspicions > 0;
  if (record) {
    Object.assign(record, {
      probeRequests: record.probeRequests + (isTrial ? 1 : 0),
      running: record.running + 1,
      prefillTokens: record.prefillTokens + unread,
    });
    record.lossHandlers.add(handleLoss);
  }
  const recordFirstEvent = (): void => {
    if (record) Object.assign(record, { prefillTokens: record.prefillTokens - unread });
    unread = 0;
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
        probeRequests: isTrial ? Math.max(0, record.probeRequests - 1) : record.probeRequests,
      });
    },
  };
};
