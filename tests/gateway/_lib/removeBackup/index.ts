import { TABLES } from '../../../../platform';
import { formatStandInEvent, type StandInServer } from '../../../../standins/gateway';
import { findBackup } from '../findBackup';
import { takeNextRequest, type TakenRequest } from '../takeNextRequest';
import type { FollowedAnswer, TestGateway } from '../startTestGateway';

/**
 * Removes the server that the KV cache of a stream is copied to, then sends the first three events.
 * The gateway then has to move the run.
 */
export const removeBackup = async (
  harness: TestGateway,
  followed: FollowedAnswer,
): Promise<{ readonly first: TakenRequest; readonly backup: StandInServer }> => {
  const first = await takeNextRequest(harness.servers);
  const backup = findBackup(harness, first);
  harness.store.writeRow(TABLES.servers, backup.id, null);
  await harness.waitForLine('server gone', ({ server }) => server === backup.id);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 3);
  await followed.waitForText(formatStandInEvent(3));
  return { first, backup };
};
