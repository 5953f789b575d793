import type { EventLog } from '../../../ports';
import type { Member } from '../../types';

/** Members that one line of the log names: hundreds come with the first message. */
const MAX_LOGGED_MEMBERS = 10;

/** Writes one line of the VMs that a message made known, if there are any. */
export const logJoinedMembers = (log: EventLog, from: string, joined: readonly Member[]): void => {
  if (joined.length === 0) return;
  const named = joined.slice(0, MAX_LOGGED_MEMBERS);
  const peers = named.map(({ address, vm }) => `${vm} ${address}`).join(', ');
  log.info('peers known', { from, count: joined.length, peers });
};
