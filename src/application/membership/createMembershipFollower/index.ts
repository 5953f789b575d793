import type { PeerRecord } from '../../../domain/membership';
import type { PeerExchange } from '../../peers';
import type { Clock, EventLog, HealthRegistry, Randomness, TableStore, VmList } from '../../ports';
import { createRegistration } from '../_lib/createRegistration';
import { createVmListPoller } from '../_lib/createVmListPoller';

/** What the follower needs. */
export interface MembershipFollowerDependencies {
  readonly readSelf: () => PeerRecord;
  readonly exchange: Pick<PeerExchange, 'recordMembers' | 'listLiveVms'>;
  readonly vmList: VmList;
  readonly table: TableStore;
  /** Null at a process that routes nothing. */
  readonly health: HealthRegistry | null;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** The platform's list says that this VM is leaving; may be called more than once. */
  readonly handleOwnLeaving: () => void;
}

/** Follows who is there according to the platform. */
export interface MembershipFollower {
  start(): void;
  /** Stops and removes this VM's registration. */
  stop(): Promise<void>;
}

/**
 * Creates the follower of the platform's list of VMs and of the registrations in the table.
 *
 * Both only name VMs; whether one lives is decided by the exchange of news. A booting VM finds its
 * peers by whichever answers first: list, registrations, or the seeds of the settings.
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
