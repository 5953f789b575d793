import type { AnswerHead, ServerEntry } from '../../../../domain/forwarding';
import type { ServerDirectory } from '../../createServerDirectory';

/** Takes what an answer's head says of its server; another server at its address speaks for itself. */
export const recordAnswerHead = (
  directory: ServerDirectory,
  server: ServerEntry,
  head: AnswerHead,
): void => {
  if (head.isOtherServer) {
    directory.recordReplaced(server.id, head.serverId);
    return;
  }
  if (head.load) directory.recordLoad(server.id, head.load);
  if (head.isLeaving) directory.recordLeaving(server.id);
  if (head.pauseMs > 0) directory.recordPause(server.id, head.pauseMs);
};
