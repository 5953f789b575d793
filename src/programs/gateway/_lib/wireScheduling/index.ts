import type { GatewayClient } from '../../../../adapters/connect';
import type { Member } from '../../../../application/gossip';
import type { Clock, EventLog } from '../../../../application/ports';
import {
  createSchedulerRegistry,
  type DeliveredDecision,
  type SchedulerClient,
  type SchedulerRegistry,
  type SchedulingVm,
} from '../../../../application/scheduling';
import type { SchedulingFactories } from '../../types';

type Vm = Omit<Member, 'ageMs'>;

/** Dependencies of the scheduling parts. */
export interface SchedulingPartsDependencies {
  readonly self: Vm;
  /** Lists the other VMs heard of recently. */
  readonly listPeers: () => readonly Vm[];
  readonly calls: Pick<GatewayClient, 'deliverDecision' | 'schedule'>;
  /** Whether the configuration in force has the service. */
  readonly hasService: (service: string) => boolean;
  readonly factories: SchedulingFactories;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Parts that schedule streams. */
export interface SchedulingParts {
  /** Schedulers that run at this VM. */
  readonly registry: SchedulerRegistry;
  /** Client of the schedulers, at this VM or others. */
  readonly client: SchedulerClient;
  stop(): void;
}

const buildVm = ({ address, availabilityZone, vm }: Vm): SchedulingVm => ({
  vm,
  address,
  availabilityZone,
});

/** Wires the schedulers of this VM, its client of schedulers, and the transport between them. */
export const wireScheduling = ({
  calls,
  clock,
  factories,
  hasService,
  listPeers,
  log,
  self,
}: SchedulingPartsDependencies): SchedulingParts => {
  // The schedulers deliver to the client, which calls the schedulers.
  let handleDelivery: SchedulerClient['handleDelivery'] = () => false;

  /** Calls a part of this VM as if it were another VM, where a failure ends no process. */
  const callSelf = <Answer>(handle: () => Answer, failed: Answer): Answer => {
    try {
      return handle();
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'unknown';
      log.error('scheduling call failed unexpectedly', { reason });
      return failed;
    }
  };

  /** Delivers after the scheduler's current step, so that a stream is not sent within it. */
  const deliverToSelf = async (delivered: DeliveredDecision): Promise<boolean> => {
    await Promise.resolve();
    return callSelf(() => handleDelivery(delivered), false);
  };

  const deliver = (address: string, delivered: DeliveredDecision): Promise<boolean> =>
    address === self.address ? deliverToSelf(delivered) : calls.deliverDecision(address, delivered);

  const registry = createSchedulerRegistry({
    createScheduler: (service) => factories.createScheduler(service, deliver),
    hasService,
    clock,
    log,
  });
  const client = factories.createClient({
    self: buildVm(self),
    listSchedulers: (service) => {
      const vmsByName = new Map([...listPeers(), self].map((one) => [one.vm, one]));
      return factories
        .rankSchedulers([...vmsByName.values()], service)
        .map(({ vm }) => vmsByName.get(vm))
        .filter((one) => one !== undefined)
        .map(buildVm);
    },
    askPeer: calls.schedule,
    handleLocally: (request) =>
      callSelf(() => registry.handleRequest(request), { isOwner: false, decisions: [] }),
  });
  handleDelivery = client.handleDelivery;
  return {
    registry,
    client,
    stop: () => {
      client.stop();
      registry.stop();
    },
  };
};
