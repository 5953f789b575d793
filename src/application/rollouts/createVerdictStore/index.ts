import type { Result } from 'neverthrow';
import { RolloutState, type RolloutVerdict } from '../../../domain/rollouts';
import type { Clock, EventLog, RowSource, RowWriter, SharedRow } from '../../ports';
import type { RolloutSnapshot, RolloutRegistry } from '../createRolloutRegistry';

/** A verdict as stored in the shared store. */
export interface StoredVerdict {
  readonly verdict: RolloutVerdict;
  /** Time of the order, on the monotonic clock of the store. */
  readonly startedStoreMs: number;
}

/** Table, keys and encoding of stored verdicts. */
export interface VerdictCodec {
  readonly table: string;
  readonly buildKey: (service: string) => string;
  readonly encode: (stored: StoredVerdict) => Buffer;
  readonly decode: (row: SharedRow) => Result<StoredVerdict, string>;
}

/** Dependencies of the verdict store. */
export interface VerdictStoreDependencies {
  readonly codec: VerdictCodec;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  readonly rollouts: Pick<RolloutRegistry, 'applyVerdict' | 'recordAge'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Reads and writes rollout verdicts in the shared store. */
export interface VerdictStore {
  /** Reads the age and verdict of an order that predates this process into the registry. */
  readVerdict(rollout: RolloutSnapshot): void;
  /** Writes the verdict unless the store holds a final one; callers repeat it until it succeeds. */
  writeVerdict(rollout: RolloutSnapshot): void;
}

/** Time until a failed call may be repeated. */
const RETRY_MS = 500;

const FINAL_STATES: ReadonlySet<RolloutState> = new Set([
  RolloutState.Completed,
  RolloutState.Reverted,
]);

/** Converts a state to the stored one: only the VMs know of `switching`, not the store. */
const toStoredState = (state: RolloutState): RolloutState =>
  FINAL_STATES.has(state) ? state : RolloutState.InProgress;

/** Creates the verdict store on a table of the shared store. */
export const createVerdictStore = ({
  clock,
  codec,
  log,
  rollouts,
  store,
}: VerdictStoreDependencies): VerdictStore => {
  const syncing = new Set<string>();
  const retryAtMs = new Map<string, number>();
  /** Order sequence and state last written, by service. */
  const writtenByService = new Map<string, string>();

  const buildVerdictKey = ({ verdict }: RolloutSnapshot): string =>
    `${verdict.sequence} ${toStoredState(verdict.state)}`;

  /** Applies the stored row of an order to the registry; returns true if its verdict is final. */
  const applyStored = (rollout: RolloutSnapshot, stored: StoredVerdict | null, storeMs: number) => {
    const { sequence, service } = rollout.order;
    if (stored?.verdict.sequence !== sequence) {
      rollouts.recordAge(service, sequence, 0);
      return false;
    }
    rollouts.recordAge(service, sequence, Math.max(0, storeMs - stored.startedStoreMs));
    if (!FINAL_STATES.has(stored.verdict.state)) return false;
    rollouts.applyVerdict({ ...stored.verdict, isStored: true });
    return true;
  };

  const sync = async (rollout: RolloutSnapshot, shouldWrite: boolean): Promise<string | null> => {
    const { order, verdict } = rollout;
    const read = await store.readRows(codec.table);
    if (read.isErr()) return read.error.kind;
    const key = codec.buildKey(order.service);
    const row = read.value.rows.find(
      (candidate) => candidate.key === key && candidate.value !== null,
    );
    const decoded = row ? codec.decode(row) : null;
    const stored = decoded?.isOk() ? decoded.value : null;
    const storeMs = read.value.storeMs ?? 0;
    if (applyStored(rollout, stored, storeMs) || !shouldWrite) return null;
    if (stored && stored.verdict.sequence > order.sequence) return null;
    const isSame = stored?.verdict.sequence === order.sequence;
    const state = toStoredState(verdict.state);
    const startedStoreMs = isSame ? stored.startedStoreMs : storeMs - (rollout.ageMs ?? 0);
    const value = codec.encode({ verdict: { ...verdict, state }, startedStoreMs });
    const written = await store.changeRows({
      table: codec.table,
      writes: [{ key, value }],
      removed: [],
      expected: [{ key, version: row?.version ?? 0 }],
    });
    if (written.isErr()) return `write: ${written.error.kind}`;
    log.info('rollout status written', { service: order.service, to: order.to, state });
    if (FINAL_STATES.has(state)) rollouts.applyVerdict({ ...verdict, isStored: true });
    return null;
  };

  const startSync = async (rollout: RolloutSnapshot, shouldWrite: boolean): Promise<void> => {
    const { service } = rollout.order;
    if (syncing.has(service) || (retryAtMs.get(service) ?? 0) > clock.readMonotonicMs()) return;
    syncing.add(service);
    const reason = await sync(rollout, shouldWrite);
    syncing.delete(service);
    if (reason === null) {
      if (shouldWrite) writtenByService.set(service, buildVerdictKey(rollout));
      return;
    }
    log.warn('rollout status failed', { service, reason, isWritten: shouldWrite });
    retryAtMs.set(service, clock.readMonotonicMs() + RETRY_MS);
  };

  return {
    readVerdict: (rollout) => {
      startSync(rollout, false);
    },
    writeVerdict: (rollout) => {
      if (
        rollout.verdict.isStored ||
        writtenByService.get(rollout.order.service) === buildVerdictKey(rollout)
      )
        return;
      startSync(rollout, true);
    },
  };
};
