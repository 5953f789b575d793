import type { AnswerHead, ServerEntry } from '../../../../domain/forwarding';
import type { ForwardingDependencies } from '../../types';

/** Takes what an answer's head says of its server; another server at its address speaks for itself. */
export const recordResponseHead = (
  { directory, limits }: Pick<ForwardingDependencies, 'directory' | 'limits'>,
  server: ServerEntry,
  head: AnswerHead,
  { sentAtMs }: { readonly sentAtMs: number },
): void => {
  if (head.isFromOtherServer) {
    directory.recordReplaced(server.id, head.serverId);
    return;
  }
  if (head.load) directory.recordLoad(server.id, head.load);
  if (head.isLeaving) directory.recordLeaving(server.id);
  if (head.pauseMs > 0) directory.recordPause(server.id, head.pauseMs);
  const { limitPerS } = head;
  if (head.isVerified || limitPerS !== null) {
    limits.recordAdvertisedLimit(server.id, { limitPerS, sentAtMs });
  }
};
