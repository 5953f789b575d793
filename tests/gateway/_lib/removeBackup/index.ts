import { TABLES } from '../../../../platform';
import { formatStandInEvent, type StandInServer } from '../../../../standins/gateway';
import { findBackup } from '../findBackup';
import { takeNextRequest, type TakenRequest } from '../takeNextRequest';
import type { FollowedAnswer, TestGateway } from '../startTestGateway';

/**
 * Removes the server that a stream's memory is copied to, then answers with the first three events:
 * from here on the run is to be moved.
 */
export const removeBackup = async (
  bench: TestGateway,
  followed: FollowedAnswer,
): Promise<{ readonly first: TakenRequest; readonly backup: StandInServer }> => {
  const first = await takeNextRequest(bench.servers);
  const backup = findBackup(bench, first);
  bench.store.writeRow(TABLES.servers, backup.id, null);
  await bench.waitForLine('server gone', ({ server }) => server === backup.id);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 3);
  await followed.waitForText(formatStandInEvent(3));
  return { first, backup };
};
