import type { VmRecord } from '../../../../domain/types';
import type { Clock, EventLog, HealthRegistry, Randomness, VmList } from '../../../ports';
import type { MemberDiscovery } from '../../../peers';

/** Mean time between two chances to poll the list. */
export const LIST_ROUND_MS = 2_000;
const LIST_JITTER = 0.2;
/**
 * Polls a round over all VMs of a region. With hundreds of VMs and servers in the list, its bytes
 * would go far past the budget if each VM polled; what one learns, the others hear as news.
 */
const POLLS_PER_ROUND = 3;

/** What the poller needs. */
export interface VmListPollerDependencies {
  readonly self: string;
  readonly vmList: VmList;
  readonly members: MemberDiscovery;
  readonly health: HealthRegistry | null;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Live VMs of the region, with this one. */
  readonly countLiveVms: () => number;
  /** The list says that this VM is leaving. */
  readonly handleOwnLeaving: () => void;
}

/** Polls the platform's list of VMs. */
export interface VmListPoller {
  start(): void;
  stop(): void;
}

/** Creates the poller of the platform's list. */
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
    // Only a change in the list counts: the server itself may have said earlier that it leaves.
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
  const runRound = async (): Promise<void> => {
    const isChosen = randomness.readFraction() < POLLS_PER_ROUND / deps.countLiveVms();
    if (isFirst || isChosen) await pollList();
    isFirst = false;
    if (stopped) return;
    const jitter = 1 + LIST_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(LIST_ROUND_MS * jitter, runRound);
  };

  return {
    start: () => {
      runRound();
    },
    stop: () => {
      stopped = true;
      cancelTimer();
    },
  };
}
