import { isPartFingerprint, type RunOutcome } from '../../../../domain/crashes';

/** Formats an outcome as the message of its log line. */
export const formatOutcome = ({ fingerprint, hasCrashed, isConfirmed }: RunOutcome): string => {
  const subject = isPartFingerprint(fingerprint) ? 'prompt part' : 'request';
  if (!hasCrashed) return `suspected ${subject} answered`;
  return isConfirmed ? `${subject} crashed a server` : `${subject} may have crashed a server`;
};
