import type { PeerRecord } from '../../../domain/membership';
import type { PeerExchange } from '../../peers';
import type { Clock, EventLog, HealthRegistry, Randomness, TableStore, VmList } from '../../ports';
import { createRegistration } from '../_lib/createRegistration';
import { createVmListPoller } from '../_lib/createVmListPoller';

/** Dependencies of the membership follower. */
export interface MembershipFollowerDependencies {
  readonly readSelf: () => PeerRecord;
  readonly exchange: Pick<PeerExchange, 'recordMembers' | 'listLiveVms'>;
  readonly vmList: VmList;
  readonly table: TableStore;
  /** Null in a process that routes no requests. */
  readonly health: HealthRegistry | null;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Called, possibly repeatedly, when the platform's list marks this VM as leaving. */
  readonly handleOwnLeaving: () => void;
}

/** Follows the members that the platform reports. */
export interface MembershipFollower {
  start(): void;
  /** Stops and removes this VM's registration. */
  stop(): Promise<void>;
}

/**
 * Creates the follower of the platform's list of VMs and of the registrations in the table.
 *
 * Both sources only name VMs; the exchange of news decides whether a VM is alive. A booting VM
 * discovers its peers from whichever answers first: the list, the registrations or the seeds in the
 * settings.
 */
export function createMembershipFollower(deps: MembershipFollowerDependencies): MembershipFollower {
  const members = deps.exchange;
  const countLiveVms = (): number => deps.exchange.listLiveVms().length;
  const poller = createVmListPoller({ ...deps, self: deps.readSelf().vm, members, countLiveVms });
  const registration = createRegistration({ ...deps, members, countLiveVms });
  return {
    start: () => {
      poller.start();
      registration.start();
    },
    stop: async () => {
      poller.stop();
      registration.stop();
      await registration.remove();
    },
  };
}
