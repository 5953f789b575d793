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

/** Dependencies of the rollout registry. */
export interface RolloutRegistryDependencies {
  /** Decodes the order in a row; null if the row holds none. */
  readonly decodeOrder: (row: SharedRow) => Result<RolloutOrder, string> | null;
  readonly bounds: TrialBounds;
  readonly listServing: (service: string) => readonly ServerStatus[];
  /** Reads which part of the bounds this VM may use, 0 to 1; those of all VMs are 1 at most. */
  readonly readShare: () => number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  /** Sends a verdict that this VM reached to the other VMs. */
  readonly broadcastVerdict: (verdict: RolloutVerdict) => void;
  /** Called when an order comes into force on this VM or its verdict changes. */
  readonly handleChange: (service: string) => void;
  /** Called after each outcome at a server of the new version. */
  readonly handleEvidence: (service: string) => void;
}

/** State of a rollout on this VM at the time of the call. */
export interface RolloutSnapshot {
  readonly order: RolloutOrder;
  readonly verdict: RolloutVerdict;
  /** Time since the order, in milliseconds; null if unknown. */
  readonly ageMs: number | null;
  /** Time since the state became `switching`, in milliseconds; 0 in other states. */
  readonly switchedMs: number;
  readonly hasEstablished: boolean;
  readonly tallies: RolloutTallies;
}

/** Tracks rollouts and determines which versions a request may go to. */
export interface RolloutRegistry extends VerdictGossip {
  /** Applies rows with orders of the operator; those of the first call predate this process. */
  applyRows(rows: readonly SharedRow[]): void;
  openRequest(request: { readonly service: string; readonly route: string }): EligibleServers;
  find(service: string): RolloutSnapshot | null;
  /** Sets the age of an order that predates this process. */
  recordAge(service: string, sequence: number, ageMs: number): void;
  /** Applies a verdict that this VM reached or read from the store, and sends it to the others. */
  applyVerdict(verdict: RolloutVerdict): void;
  /** Pauses or resumes trials; they pause while the judge has not accepted the results. */
  setTrialsPaused(service: string, isPaused: boolean): void;
}

/** A process that has run for less than this time may not hold its share yet, and sends no trials. */
const SHARE_SETTLE_MS = 10_000;

/** Gossip carries a verdict for this time after a change; VMs that start later read the store. */
const VERDICT_GOSSIP_MS = 60_000;

/** Creates a registry without rollouts. */
export const createRolloutRegistry = (
  dependencies: RolloutRegistryDependencies,
): RolloutRegistry => {
  const { bounds, clock, handleChange, handleEvidence, listServing, log } = dependencies;
  const { decodeOrder, randomness, readShare, broadcastVerdict } = dependencies;
  const createdAtMs = clock.readMonotonicMs();
  const rolloutsByService = new Map<string, TrackedRollout>();
  /** Verdicts that arrived before their order, by service. */
  const earlyVerdicts = new Map<string, RolloutVerdict>();
  const latencyBaselines = createLatencyBaselines();
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

  /** Applies a verdict if it supersedes the known one; returns true if it does. */
  const applyNewerVerdict = (verdict: RolloutVerdict, source: string): boolean => {
    const rollout = rolloutsByService.get(verdict.service);
    if (!rollout || rollout.order.sequence < verdict.sequence) {
      const known = earlyVerdicts.get(verdict.service);
      if (known && compareVerdicts(verdict, known) <= 0) return false;
      earlyVerdicts.set(verdict.service, verdict);
      return true;
    }
    const before = buildVerdict(rollout);
    if (rollout.order.sequence > verdict.sequence || compareVerdicts(verdict, before) <= 0)
      return false;
    const nowMs = clock.readMonotonicMs();
    if (rollout.state !== verdict.state) rollout.changedAtMs = nowMs;
    Object.assign(rollout, { state: verdict.state, isStored: verdict.isStored });
    log.info('rollout verdict', { ...verdict, before: before.state, source });
    handleChange(verdict.service);
    return true;
  };

  const applyEarlyVerdict = ({ sequence, service }: RolloutOrder): void => {
    const verdict = earlyVerdicts.get(service);
    earlyVerdicts.delete(service);
    if (verdict?.sequence === sequence) applyNewerVerdict(verdict, 'early');
  };

  /** Keeps the state of an order known before a restore of the store; the stored one may be lost. */
  const renewOrder = (rollout: TrackedRollout, order: RolloutOrder): void => {
    log.info('rollout order renewed', { ...order, state: rollout.state });
    Object.assign(rollout, { order, isStored: false, changedAtMs: clock.readMonotonicMs() });
    applyEarlyVerdict(order);
    handleChange(order.service);
  };

  const applyOrder = (order: RolloutOrder): void => {
    const before = rolloutsByService.get(order.service);
    if (before && before.order.sequence >= order.sequence) return;
    if (before && isSameOrder(before.order, order)) {
      renewOrder(before, order);
      return;
    }
    const nowMs = clock.readMonotonicMs();
    rolloutsByService.set(order.service, {
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
    applyEarlyVerdict(order);
    handleChange(order.service);
  };

  const isTrialDue = (rollout: TrackedRollout): boolean => {
    const ageMs = readAgeMs(rollout);
    if (rollout.state !== RolloutState.InProgress || rollout.isPaused || ageMs === null)
      return false;
    if (clock.readMonotonicMs() - createdAtMs < SHARE_SETTLE_MS) return false;
    const { durationMs } = rollout.order;
    const { draw, requests } = rollout;
    const options = { bounds, requests, share: readShare(), ageMs, durationMs, draw };
    if (rollout.trials >= computeTrialAllowance(options)) return false;
    return listServing(rollout.order.service).some(
      ({ entry }) => entry.version === rollout.order.to,
    );
  };

  const openRequest: RolloutRegistry['openRequest'] = ({ route, service }) => {
    const trackedRollout = rolloutsByService.get(service);
    const isTrial = trackedRollout !== undefined && isTrialDue(trackedRollout);
    if (trackedRollout) {
      trackedRollout.requests += 1;
      if (isTrial) trackedRollout.trials += 1;
    }
    return buildEligibleServers({
      findRollout: () => rolloutsByService.get(service),
      service,
      route,
      latencyBaselines,
      trialRollout: isTrial ? trackedRollout : null,
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
      const rollout = rolloutsByService.get(service);
      if (!rollout) return null;
      // Without requests, `list` has not set this flag.
      if (listServing(service).some(({ entry }) => entry.version !== rollout.order.to)) {
        rollout.hasEstablished = true;
      }
      return {
        order: rollout.order,
        verdict: buildVerdict(rollout),
        ageMs: readAgeMs(rollout),
        switchedMs:
          rollout.state === RolloutState.Switching
            ? clock.readMonotonicMs() - rollout.changedAtMs
            : 0,
        hasEstablished: rollout.hasEstablished,
        tallies: rollout.tallies.list(),
      };
    },
    recordAge: (service, sequence, ageMs) => {
      const rollout = rolloutsByService.get(service);
      if (rollout?.order.sequence !== sequence || rollout.startedAtMs !== null) return;
      rollout.startedAtMs = clock.readMonotonicMs() - ageMs;
    },
    applyVerdict: (verdict) => {
      if (applyNewerVerdict(verdict, 'own')) broadcastVerdict(verdict);
    },
    mergeVerdict: (verdict) => applyNewerVerdict(verdict, 'told'),
    listVerdicts: () =>
      [...rolloutsByService.values()]
        .filter(({ state }) => state !== RolloutState.InProgress)
        .filter(({ changedAtMs }) => clock.readMonotonicMs() - changedAtMs < VERDICT_GOSSIP_MS)
        .map(buildVerdict),
    setTrialsPaused: (service, isPaused) => {
      const rollout = rolloutsByService.get(service);
      if (rollout) rollout.isPaused = isPaused;
    },
  };
};
