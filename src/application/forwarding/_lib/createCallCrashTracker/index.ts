import {
  computeFingerprint,
  formatIncarnation,
  type ServerEntry,
} from '../../../../domain/forwarding';
import { MAX_CRASHES } from '../../createCrashHistory';
import type { ForwardContext, ForwardingDependencies } from '../../types';

/** What is known of one call, and of those like it, and the servers that ended. */
export interface CallCrashTracker {
  readFingerprint(): string;
  /** How much longer the call is in quarantine; 0 if it is not. */
  readQuarantineMs(): number;
  /** True: as many connections ended under this call as servers may end under a request. */
  hasReachedCrashLimit(): boolean;
  /** The server's connection ended without an answer. */
  recordCrash(server: ServerEntry): void;
  /** The server answered, whatever it said. */
  recordResponse(server: ServerEntry): void;
}

/** Creates what is known of one call; its fingerprint is only computed where it is of use. */
export const createCallCrashTracker = (
  { crashes, crashProbe }: Pick<ForwardingDependencies, 'crashes' | 'crashProbe'>,
  { holder, request }: Pick<ForwardContext, 'holder' | 'request'>,
): CallCrashTracker => {
  let fingerprint: string | null = null;
  /** Connections that ended under this call. */
  let broken = 0;
  const readFingerprint = (): string => {
    fingerprint ??= computeFingerprint(request, holder?.workspace ?? null);
    return fingerprint;
  };
  return {
    readFingerprint,
    readQuarantineMs: () => (crashes.isEmpty() ? 0 : crashes.readQuarantineMs(readFingerprint())),
    hasReachedCrashLimit: () => broken >= MAX_CRASHES,
    recordCrash: (server) => {
      broken += 1;
      const { requestId } = request;
      crashProbe.startProbe({ fingerprint: readFingerprint(), requestId }, server);
    },
    recordResponse: (server) => {
      if (crashes.isEmpty() || !crashes.isSuspected(readFingerprint())) return;
      crashes.recordOutcome({
        fingerprint: readFingerprint(),
        requestId: request.requestId,
        server: formatIncarnation(server),
        hasCrashed: false,
      });
    },
  };
};
