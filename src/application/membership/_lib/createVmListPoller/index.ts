import type { VmRecord } from '../../../../domain/types';
import type { Clock, EventLog, HealthRegistry, Randomness, VmList } from '../../../ports';
import type { MemberDiscovery } from '../../../peers';

/** Mean interval after which a VM polls the list with some probability. */
export const POLL_INTERVAL_MS = 2_000;
const POLL_JITTER = 0.2;
/**
 * Mean number of polls in an interval over all VMs of a region. With hundreds of VMs and servers in
 * the list, its bytes would exceed the budget by far if each VM polled. The others learn the result
 * from news.
 */
const POLLS_PER_INTERVAL = 3;

/** Dependencies of the poller. */
export interface VmListPollerDependencies {
  readonly self: string;
  readonly vmList: VmList;
  readonly members: MemberDiscovery;
  readonly health: HealthRegistry | null;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Counts the live VMs of the region, including this one. */
  readonly countLiveVms: () => number;
  /** Called when the list marks this VM as leaving. */
  readonly handleOwnLeaving: () => void;
}

/** Polls the platform's list of VMs. */
export interface VmListPoller {
  start(): void;
  stop(): void;
}

/** Creates the poller of the platform's list of VMs. */
export function createVmListPoller(deps: VmListPollerDependencies): VmListPoller {
  const { vmList, members, health, clock, randomness, log } = deps;
  const leavingServers = new Set<string>();
  let stopped = false;
  let isFirst = true;
  let cancelTimer = (): void => {};

  const recordServer = ({ vm, leaving }: VmRecord): void => {
    if (leaving) {
      leavingServers.add(vm);
      health?.recordLeaving(vm, true);
      return;
    }
    // Only a change in the list counts: the server may have announced earlier that it leaves.
    if (leavingServers.delete(vm)) health?.recordLeaving(vm, false);
  };
  const recordList = (records: readonly VmRecord[]): void => {
    members.recordMembers('list', records);
    records.filter(({ peerAddress }) => peerAddress === '').forEach(recordServer);
    if (records.some(({ vm, leaving }) => vm === deps.self && leaving)) deps.handleOwnLeaving();
  };
  const pollList = async (): Promise<void> => {
    const listed = await vmList.listVms();
    if (stopped) return;
    listed.match(recordList, (error) => log.warn('VM list not read', { kind: error.kind }));
  };
  const runInterval = async (): Promise<void> => {
    const isPollDue = randomness.readFraction() < POLLS_PER_INTERVAL / deps.countLiveVms();
    if (isFirst || isPollDue) await pollList();
    isFirst = false;
    if (stopped) return;
    const jitter = 1 + POLL_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(POLL_INTERVAL_MS * jitter, runInterval);
  };

  return {
    start: () => {
      runInterval();
    },
    stop: () => {
      stopped = true;
      cancelTimer();
    },
  };
}
