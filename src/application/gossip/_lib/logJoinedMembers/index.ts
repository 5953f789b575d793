import type { EventLog } from '../../../ports';
import type { Member } from '../../types';

/** Members named in one log line; the first message brings hundreds. */
const MAX_LOGGED_MEMBERS = 10;

/** Logs the VMs that became known with a message, if there are any. */
export const logJoinedMembers = (log: EventLog, from: string, joined: readonly Member[]): void => {
  if (joined.length === 0) return;
  const named = joined.slice(0, MAX_LOGGED_MEMBERS);
  const peers = named.map(({ address, vm }) => `${vm} ${address}`).join(', ');
  log.info('peers known', { from, count: joined.length, peers });
};
