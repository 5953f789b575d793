import type { Result } from 'neverthrow';
import type { ServerStatus } from '../../../domain/forwarding';
import {
  compareVerdicts,
  isSameOrder,
  computeTrialAllowance,
  RolloutState,
  type RolloutOrder,
  type RolloutTallies,
  type RolloutVerdict,
  type TrialBounds,
} from '../../../domain/rollouts';
import type { Clock, EventLog, Randomness, SharedRow } from '../../ports';
import { buildEligibleServers } from '../_lib/buildEligibleServers';
import { createTrialTallies } from '../_lib/createTrialTallies';
import { createLatencyBaselines } from '../_lib/createLatencyBaselines';
import type { TrackedRollout, VerdictGossip, EligibleServers } from '../types';

/** What roll-outs need. */
export interface RolloutRegistryDependencies {
  /** Null: the row is no order. */
  readonly decodeOrder: (row: SharedRow) => Result<RolloutOrder, string> | null;
  readonly bounds: TrialBounds;
  readonly listServing: (service: string) => readonly ServerStatus[];
  readonly countVms: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  /** Tells other VMs of a verdict that was reached here. */
  readonly broadcastVerdict: (verdict: RolloutVerdict) => void;
  /** An order came into force here, or its verdict changed. */
  readonly handleChange: (service: string) => void;
  /** Something was seen at a server of the new version. */
  readonly handleEvidence: (service: string) => void;
}

/** A roll-out as this VM knows it. */
export interface RolloutSnapshot {
  readonly order: RolloutOrder;
  readonly verdict: RolloutVerdict;
  /** Since the order, in milliseconds; null while it is not known. */
  readonly ageMs: number | null;
  readonly switchedMs: number;
  readonly hasEstablished: boolean;
  readonly tallies: RolloutTallies;
}

/** Knows the roll-outs under way, and which versions a request may go to. */
export interface RolloutRegistry extends VerdictGossip {
  /** Takes rows of the operator; the first ones were there before this process. */
  applyRows(rows: readonly SharedRow[]): void;
  openRequest(request: { readonly service: string; readonly route: string }): EligibleServers;
  find(service: string): RolloutSnapshot | null;
  /** Takes how long ago an order was given, where its row was there before this process. */
  recordAge(service: string, sequence: number, ageMs: number): void;
  /** Sets a verdict that was reached at this VM. */
  applyVerdict(verdict: RolloutVerdict): void;
  /** Whether results that were not told yet forbid further trials. */
  setTrialsPaused(service: string, isPaused: boolean): void;
}

/** A process that has not run for this long is not sure how many VMs there are. */
const SETTLE_MS = 10_000;

/** Verdicts are passed on for this long after they changed; a VM that starts later reads the store. */
const TOLD_MS = 60_000;

/** Creates what knows the roll-outs; there are none. */
export const createRolloutRegistry = (
  dependencies: RolloutRegistryDependencies,
): RolloutRegistry => {
  const { bounds, clock, countVms, handleChange, handleEvidence, listServing, log } = dependencies;
  const { decodeOrder, randomness, broadcastVerdict } = dependencies;
  const bornAtMs = clock.readMonotonicMs();
  const heldOf = new Map<string, TrackedRollout>();
  /** Verdicts that came before their order did. */
  const early = new Map<string, RolloutVerdict>();
  const usual = createLatencyBaselines();
  let hasRows = false;

  const readAgeMs = ({ startedAtMs }: TrackedRollout): number | null =>
    startedAtMs === null ? null : clock.readMonotonicMs() - startedAtMs;

  const buildVerdict = ({ isStored, order, state }: TrackedRollout): RolloutVerdict => ({
    service: order.service,
    to: order.to,
    sequence: order.sequence,
    state,
    isStored,
  });

  /** Takes a verdict; true if it stands from now on. */
  const merge = (verdict: RolloutVerdict, source: string): boolean => {
    const held = heldOf.get(verdict.service);
    if (!held || held.order.sequence < verdict.sequence) {
      const known = early.get(verdict.service);
      if (known && compareVerdicts(verdict, known) <= 0) return false;
      early.set(verdict.service, verdict);
      return true;
    }
    const before = buildVerdict(held);
    if (held.order.sequence > verdict.sequence || compareVerdicts(verdict, before) <= 0)
      return false;
    const nowMs = clock.readMonotonicMs();
    if (held.state !== verdict.state) held.changedAtMs = nowMs;
    Object.assign(held, { state: verdict.state, isStored: verdict.isStored });
    log.info('rollout verdict', { ...verdict, before: before.state, source });
    handleChange(verdict.service);
    return true;
  };

  const mergeEarly = ({ sequence, service }: RolloutOrder): void => {
    const verdict = early.get(service);
    early.delete(service);
    if (verdict?.sequence === sequence) merge(verdict, 'early');
  };

  /** What is known of the order holds; what was written for it may be gone. */
  const renewOrder = (held: TrackedRollout, order: RolloutOrder): void => {
    log.info('rollout order renewed', { ...order, state: held.state });
    Object.assign(held, { order, isStored: false, changedAtMs: clock.readMonotonicMs() });
    mergeEarly(order);
    handleChange(order.service);
  };

  const applyOrder = (order: RolloutOrder): void => {
    const before = heldOf.get(order.service);
    if (before && before.order.sequence >= order.sequence) return;
    if (before && isSameOrder(before.order, order)) {
      renewOrder(before, order);
      return;
    }
    const nowMs = clock.readMonotonicMs();
    heldOf.set(order.service, {
      order,
      startedAtMs: hasRows ? nowMs : null,
      state: RolloutState.InProgress,
      isStored: false,
      changedAtMs: nowMs,
      hasEstablished: false,
      isPaused: false,
      requests: 0,
      trials: 0,
      draw: randomness.readFraction(),
      tallies: createTrialTallies(),
    });
    log.info('rollout ordered', { ...order, isOld: !hasRows, before: before?.state ?? 'none' });
    mergeEarly(order);
    handleChange(order.service);
  };

  const isTrialDue = (held: TrackedRollout): boolean => {
    const ageMs = readAgeMs(held);
    if (held.state !== RolloutState.InProgress || held.isPaused || ageMs === null) return false;
    if (clock.readMonotonicMs() - bornAtMs < SETTLE_MS) return false;
    const { durationMs } = held.order;
    const { draw, requests } = held;
    const vms = countVms();
    const options = { bounds, requests, vms, ageMs, durationMs, draw };
    if (held.trials >= computeTrialAllowance(options)) return false;
    return listServing(held.order.service).some(({ entry }) => entry.version === held.order.to);
  };

  const openRequest: RolloutRegistry['openRequest'] = ({ route, service }) => {
    const opened = heldOf.get(service);
    const isTrial = opened !== undefined && isTrialDue(opened);
    if (opened) {
      opened.requests += 1;
      if (isTrial) opened.trials += 1;
    }
    return buildEligibleServers({
      findRollout: () => heldOf.get(service),
      service,
      route,
      latencyBaselines: usual,
      trialRollout: isTrial ? opened : null,
      trialRatio: bounds.trialRatio,
      listServing: () => listServing(service),
      handleEvidence: () => handleEvidence(service),
    });
  };

  return {
    applyRows: (rows) => {
      rows.forEach((row) => {
        const order = decodeOrder(row);
        if (order === null) return;
        if (order.isErr())
          log.error('rollout order refused', { key: row.key, reason: order.error });
        else applyOrder(order.value);
      });
      hasRows = true;
    },
    openRequest,
    find: (service) => {
      const held = heldOf.get(service);
      if (!held) return null;
      // Also where no request came by since.
      if (listServing(service).some(({ entry }) => entry.version !== held.order.to)) {
        held.hasEstablished = true;
      }
      return {
        order: held.order,
        verdict: buildVerdict(held),
        ageMs: readAgeMs(held),
        switchedMs:
          held.state === RolloutState.Switching ? clock.readMonotonicMs() - held.changedAtMs : 0,
        hasEstablished: held.hasEstablished,
        tallies: held.tallies.list(),
      };
    },
    recordAge: (service, sequence, ageMs) => {
      const held = heldOf.get(service);
      if (held?.order.sequence !== sequence || held.startedAtMs !== null) return;
      held.startedAtMs = clock.readMonotonicMs() - ageMs;
    },
    applyVerdict: (verdict) => {
      if (merge(verdict, 'own')) broadcastVerdict(verdict);
    },
    mergeVerdict: (verdict) => merge(verdict, 'told'),
    listVerdicts: () =>
      [...heldOf.values()]
        .filter(({ state }) => state !== RolloutState.InProgress)
        .filter(({ changedAtMs }) => clock.readMonotonicMs() - changedAtMs < TOLD_MS)
        .map(buildVerdict),
    setTrialsPaused: (service, isPaused) => {
      const held = heldOf.get(service);
      if (held) held.isPaused = isPaused;
    },
  };
};
