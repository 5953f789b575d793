import type { Result } from 'neverthrow';
import { RolloutState, type RolloutVerdict } from '../../../domain/rollouts';
import type { Clock, EventLog, RowSource, RowWriter, SharedRow } from '../../ports';
import type { RolloutSnapshot, RolloutRegistry } from '../createRolloutRegistry';

/** A verdict as the shared store holds it. */
export interface StoredVerdict {
  readonly verdict: RolloutVerdict;
  /** When the order was given, by the store's own steady clock. */
  readonly startedStoreMs: number;
}

/** How verdicts are written. */
export interface VerdictCodec {
  readonly table: string;
  readonly buildKey: (service: string) => string;
  readonly encode: (stored: StoredVerdict) => Buffer;
  readonly decode: (row: SharedRow) => Result<StoredVerdict, string>;
}

/** What rows of verdicts need. */
export interface VerdictStoreDependencies {
  readonly codec: VerdictCodec;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  readonly rollouts: Pick<RolloutRegistry, 'applyVerdict' | 'recordAge'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Keeps verdicts on roll-outs in the shared store. */
export interface VerdictStore {
  /** Learns what the store holds of an order that was there before this process. */
  readVerdict(known: RolloutSnapshot): void;
  /** Writes the verdict, unless the store holds a final one; called again until that is done. */
  writeVerdict(known: RolloutSnapshot): void;
}

/** Time until a call that failed is made again. */
const RETRY_MS = 500;

const FINAL_STATES: ReadonlySet<RolloutState> = new Set([
  RolloutState.Completed,
  RolloutState.Reverted,
]);

/** What the store is told: that new requests have moved already is between the VMs. */
const toStoredState = (state: RolloutState): RolloutState =>
  FINAL_STATES.has(state) ? state : RolloutState.InProgress;

/** Creates what keeps verdicts in a table of the shared store. */
export const createVerdictStore = ({
  clock,
  codec,
  log,
  rollouts,
  store,
}: VerdictStoreDependencies): VerdictStore => {
  const busy = new Set<string>();
  const notBeforeMs = new Map<string, number>();
  /** By service: what the store surely holds, as order and state. */
  const writtenOf = new Map<string, string>();

  const buildMark = ({ verdict }: RolloutSnapshot): string =>
    `${verdict.sequence} ${toStoredState(verdict.state)}`;

  /** Takes what the store holds of an order; true if it is final. */
  const takeStored = (known: RolloutSnapshot, stored: StoredVerdict | null, storeMs: number) => {
    const { sequence, service } = known.order;
    if (stored?.verdict.sequence !== sequence) {
      rollouts.recordAge(service, sequence, 0);
      return false;
    }
    rollouts.recordAge(service, sequence, Math.max(0, storeMs - stored.startedStoreMs));
    if (!FINAL_STATES.has(stored.verdict.state)) return false;
    rollouts.applyVerdict({ ...stored.verdict, isStored: true });
    return true;
  };

  const sync = async (known: RolloutSnapshot, isWritten: boolean): Promise<string | null> => {
    const { order, verdict } = known;
    const read = await store.readRows(codec.table);
    if (read.isErr()) return read.error.kind;
    const key = codec.buildKey(order.service);
    const row = read.value.rows.find((one) => one.key === key && one.value !== null);
    const decoded = row ? codec.decode(row) : null;
    const stored = decoded?.isOk() ? decoded.value : null;
    const storeMs = read.value.storeMs ?? 0;
    if (takeStored(known, stored, storeMs) || !isWritten) return null;
    if (stored && stored.verdict.sequence > order.sequence) return null;
    const isSame = stored?.verdict.sequence === order.sequence;
    const state = toStoredState(verdict.state);
    const startedStoreMs = isSame ? stored.startedStoreMs : storeMs - (known.ageMs ?? 0);
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

  const run = async (known: RolloutSnapshot, isWritten: boolean): Promise<void> => {
    const { service } = known.order;
    if (busy.has(service) || (notBeforeMs.get(service) ?? 0) > clock.readMonotonicMs()) return;
    busy.add(service);
    const reason = await sync(known, isWritten);
    busy.delete(service);
    if (reason === null) {
      if (isWritten) writtenOf.set(service, buildMark(known));
      return;
    }
    log.warn('rollout status failed', { service, reason, isWritten });
    notBeforeMs.set(service, clock.readMonotonicMs() + RETRY_MS);
  };

  return {
    readVerdict: (known) => {
      run(known, false);
    },
    writeVerdict: (known) => {
      if (known.verdict.isStored || writtenOf.get(known.order.service) === buildMark(known)) return;
      run(known, true);
    },
  };
};
