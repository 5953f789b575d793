import { decodeRegistration, encodeRegistration } from '../../../../domain/membership';
import type { PeerRecord } from '../../../../domain/membership';
import type { Clock, EventLog, Randomness, TableItem, TableStore } from '../../../ports';
import type { MemberDiscovery } from '../../../peers';

/** Partition of the registration rows. */
export const VM_PARTITION = 'vm';
/** Mean time between two writes of the own row. */
export const REGISTER_MS = 60_000;
const REGISTER_JITTER = 0.2;
/** Time after a failed try; an outage must not delay a boot by a whole interval. */
const RETRY_MS = 5_000;
/** A row that was not renewed for this long no longer counts. */
const ROW_TTL_S = 300;
/** Rows are listed in each tenth turn only, for the bytes; lone VMs list in each. */
const TURNS_PER_LISTING = 10;
const MAX_ROWS = 1_000;
const MS_PER_S = 1_000;

/** What the registration needs. */
export interface RegistrationDependencies {
  readonly readSelf: () => PeerRecord;
  readonly table: TableStore;
  readonly members: MemberDiscovery;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Live VMs of the region, with this one. */
  readonly countLiveVms: () => number;
}

/** Keeps this VM's row in the table and reads those of the others. */
export interface Registration {
  start(): void;
  stop(): void;
  /** Removes the row: this VM is gone for good. */
  remove(): Promise<void>;
}

/** Creates the registration. */
export function createRegistration(deps: RegistrationDependencies): Registration {
  const { readSelf, table, members, clock, randomness, log } = deps;
  let stopped = false;
  let turn = 0;
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
    // Without condition: the row is a hint by which VMs find each other, nothing is decided on it.
    const written = await table.writeItem(item, { kind: 'any' });
    if (written.isErr()) log.warn('registration not written', { kind: written.error.kind });
    return written.isOk();
  };
  const isCurrent = ({ expiresAtS }: TableItem): boolean => expiresAtS > readNowS();
  const listOthers = async (): Promise<boolean> => {
    const listed = await table.listItems(VM_PARTITION, { limit: MAX_ROWS, descending: false });
    if (stopped || listed.isErr()) return false;
    // The platform removes expired rows late: they are left out here.
    const records = listed.value.filter(isCurrent).flatMap(({ body }) =>
      decodeRegistration(body).match(
        (record) => [record],
        () => [],
      ),
    );
    members.recordMembers('registrations', records);
    return true;
  };
  const runTurn = async (): Promise<void> => {
    const isWritten = await writeOwn();
    const isListing = turn % TURNS_PER_LISTING === 0 || deps.countLiveVms() === 1;
    const isListed = isListing ? await listOthers() : true;
    if (stopped) return;
    const isDone = isWritten && isListed;
    if (isDone) turn += 1;
    const jitter = 1 + REGISTER_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer((isDone ? REGISTER_MS : RETRY_MS) * jitter, runTurn);
  };

  return {
    start: () => {
      runTurn();
    },
    stop: () => {
      stopped = true;
      cancelTimer();
    },
    remove: async () => {
      const { vm, incarnation } = readSelf();
      // A successor of the same name may have written its own row already: that one stays.
      await table.removeItem(VM_PARTITION, vm, { kind: 'revision', revision: incarnation });
    },
  };
}
