import type { Clock, HealthRegistry, VmList } from '../../../../application/ports';
import type { VmRecord } from '../../../../domain/types';

/** Time between two reads of the list: a leaving server is to be known within 2 s. */
const READ_INTERVAL_MS = 1000;

/** What the follower needs. */
export interface VmListFollowerDependencies {
  readonly vmList: VmList;
  readonly health: HealthRegistry;
  readonly clock: Clock;
  readonly recordVms: (vms: readonly VmRecord[]) => void;
}

/** Creates the follower of the platform's list of live and leaving VMs; it runs until stopped. */
export const createVmListFollower = (dependencies: VmListFollowerDependencies) => {
  const { clock, health, recordVms, vmList } = dependencies;
  let stopped = false;
  let cancelTimer = (): void => undefined;

  const readOnce = async (): Promise<void> => {
    const listed = await vmList.listVms();
    if (stopped) return;
    if (listed.isOk()) {
      recordVms(listed.value.filter(({ peerAddress }) => peerAddress !== ''));
      listed.value
        .filter(({ peerAddress }) => peerAddress === '')
        .forEach(({ leaving, vm }) => health.recordLeaving(vm, leaving));
    }
    cancelTimer = clock.startTimer(READ_INTERVAL_MS, readOnce);
  };
  readOnce();

  return {
    stop: (): void => {
      stopped = true;
      cancelTimer();
    },
  };
};
