import type { AnswerHead, ServerEntry } from '../../../../domain/forwarding';
import type { ForwardingDependencies } from '../../types';
import { recordWorkFactor } from '../recordWorkFactor';

type RecordDependencies = Pick<
  ForwardingDependencies,
  'directory' | 'limits' | 'serverPaces' | 'unread'
>;

/** Records what a response head says about its server, unless another server sent it. */
export const recordResponseHead = (
  { directory, limits, serverPaces, unread }: RecordDependencies,
  server: ServerEntry,
  head: AnswerHead,
  { relay, sentAtMs }: { readonly relay: string | null; readonly sentAtMs: number },
): void => {
  unread.recordAnswer({ server: server.id, relay }, sentAtMs);
  if (head.isFromOtherServer) {
    directory.recordReplaced(server.id, head.serverId, sentAtMs);
    return;
  }
  if (head.load) directory.recordLoad(server.id, head.load);
  recordWorkFactor(serverPaces, server, head.load);
  if (head.isLeaving) directory.recordLeaving(server.id);
  if (head.pauseMs > 0) directory.recordPause(server.id, head.pauseMs);
  const { limitPerS, maxRejectionsPerS } = head;
  if (head.isVerified || limitPerS !== null || maxRejectionsPerS !== null) {
    limits.recordAdvertisedLimit(server.id, { limitPerS, maxRejectionsPerS, sentAtMs });
  }
};
