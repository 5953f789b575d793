import {
  computeFingerprint,
  formatIncarnation,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { ForwardContext, ForwardingDependencies } from '../../types';

/** What is known of one call, and of those like it, and the servers that ended. */
export interface CallCrashes {
  readFingerprint(): string;
  /** How much longer the call is in quarantine; 0 if it is not. */
  readQuarantineMs(): number;
  /** The server's connection ended without an answer. */
  recordCrash(server: ServerEntry): void;
  /** The server answered, whatever it said. */
  recordAnswer(server: ServerEntry): void;
}

/** Creates what is known of one call; its fingerprint is only computed where it is of use. */
export const createCallCrashes = (
  { crashes }: Pick<ForwardingDependencies, 'crashes'>,
  { holder, request }: Pick<ForwardContext, 'holder' | 'request'>,
): CallCrashes => {
  let fingerprint: string | null = null;
  const readFingerprint = (): string => {
    fingerprint ??= computeFingerprint(request, holder?.workspace ?? null);
    return fingerprint;
  };
  const recordOutcome = (server: ServerEntry, hasCrashed: boolean): void =>
    crashes.recordOutcome({
      fingerprint: readFingerprint(),
      requestId: request.requestId,
      server: formatIncarnation(server),
      hasCrashed,
    });
  return {
    readFingerprint,
    readQuarantineMs: () => (crashes.isEmpty() ? 0 : crashes.readQuarantineMs(readFingerprint())),
    recordCrash: (server) => recordOutcome(server, true),
    recordAnswer: (server) => {
      if (!crashes.isEmpty() && crashes.isSuspected(readFingerprint()))
        recordOutcome(server, false);
    },
  };
};
