import { decodeRegistration, encodeRegistration } from '../../../../domain/membership';
import type { PeerRecord } from '../../../../domain/membership';
import type { Clock, EventLog, Randomness, TableItem, TableStore } from '../../../ports';
import type { MemberDiscovery } from '../../../peers';

/** Partition of the table that holds the registration rows. */
export const VM_PARTITION = 'vm';
/** Mean interval between two writes of this VM's row. */
export const REGISTER_INTERVAL_MS = 60_000;
const REGISTER_JITTER = 0.2;
/** Interval after a failure; an outage must not delay a boot by a whole register interval. */
const RETRY_INTERVAL_MS = 5_000;
/** A row that was not renewed for this long has expired. */
const ROW_TTL_S = 300;
/** Rows are listed at every tenth write only, to save bytes; a VM without peers lists each time. */
const WRITES_PER_LISTING = 10;
const MAX_ROWS = 1_000;
const MS_PER_S = 1_000;

/** Dependencies of the registration. */
export interface RegistrationDependencies {
  readonly readSelf: () => PeerRecord;
  readonly table: TableStore;
  readonly members: MemberDiscovery;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Counts the live VMs of the region, including this one. */
  readonly countLiveVms: () => number;
}

/** Renews this VM's registration row in the table and lists those of other VMs. */
export interface Registration {
  start(): void;
  stop(): void;
  /** Removes this VM's row when the VM shuts down for good. */
  remove(): Promise<void>;
}

/** Creates the registration. */
export function createRegistration(deps: RegistrationDependencies): Registration {
  const { readSelf, table, members, clock, randomness, log } = deps;
  let stopped = false;
  let writes = 0;
  let cancelTimer = (): void => {};

  const readNowS = (): number => Math.floor(clock.readWallMs() / MS_PER_S);
  const writeOwn = async (): Promise<boolean> => {
    const self = readSelf();
    const item: TableItem = {
      partition: VM_PARTITION,
      sort: self.vm,
      revision: self.incarnation,
      body: encodeRegistration(self),
      expiresAtS: readNowS() + ROW_TTL_S,
    };
    // Unconditional: the row is only a hint by which VMs discover each other.
    const written = await table.writeItem(item, { kind: 'any' });
    if (written.isErr()) log.warn('registration not written', { kind: written.error.kind });
    return written.isOk();
  };
  const isCurrent = ({ expiresAtS }: TableItem): boolean => expiresAtS > readNowS();
  const listOthers = async (): Promise<boolean> => {
    const listed = await table.listItems(VM_PARTITION, { limit: MAX_ROWS, descending: false });
    if (stopped || listed.isErr()) return false;
    // The platform removes expired rows late, so they are filtered out here.
    const records = listed.value.filter(isCurrent).flatMap(({ body }) =>
      decodeRegistration(body).match(
        (record) => [record],
        () => [],
      ),
    );
    members.recordMembers('registrations', records);
    return true;
  };
  const registerOnce = async (): Promise<void> => {
    const isWritten = await writeOwn();
    const isListingDue = writes % WRITES_PER_LISTING === 0 || deps.countLiveVms() === 1;
    const isListed = isListingDue ? await listOthers() : true;
    if (stopped) return;
    const isDone = isWritten && isListed;
    if (isDone) writes += 1;
    const jitter = 1 + REGISTER_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(
      (isDone ? REGISTER_INTERVAL_MS : RETRY_INTERVAL_MS) * jitter,
      registerOnce,
    );
  };

  return {
    start: () => {
      registerOnce();
    },
    stop: () => {
      stopped = true;
      cancelTimer();
    },
    remove: async () => {
      const { vm, incarnation } = readSelf();
      // A successor of the same name may already have written its own row, which must stay.
      await table.removeItem(VM_PARTITION, vm, { kind: 'revision', revision: incarnation });
    },
  };
}
