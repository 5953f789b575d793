import type { Quarantine } from '../../../../domain/crashes';
import type { Clock } from '../../../ports';
import type { CrashHistory } from '../../createCrashHistory';

/** Finds the quarantine of a fingerprint as rows hold it: its time is in Unix milliseconds. */
export const findStorableQuarantine = (
  {
    clock,
    crashes,
  }: { readonly clock: Clock; readonly crashes: Pick<CrashHistory, 'findQuarantine'> },
  fingerprint: string,
): Quarantine | null => {
  const quarantine = crashes.findQuarantine(fingerprint);
  if (!quarantine) return null;
  const monotonicToWallMs = clock.readWallMs() - clock.readMonotonicMs();
  return { ...quarantine, lastCrashAtMs: quarantine.lastCrashAtMs + monotonicToWallMs };
};
