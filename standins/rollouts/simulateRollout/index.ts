import { ok } from 'neverthrow';
import { createRolloutCodec } from '../../../platform';
import type { SharedRow } from '../../../src/application/ports';
import {
  createRolloutJudge,
  createVerdictStore,
  createRolloutRegistry,
  createTrialReporter,
  type RolloutJudge,
  type RolloutPeer,
  type RolloutRegistry,
  type TrialReporter,
} from '../../../src/application/rollouts';
import type { ServerStatus } from '../../../src/domain/forwarding';
import { RolloutState, type RolloutVerdict } from '../../../src/domain/rollouts';
import { buildServerStatus, createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';
import { createRolloutStore } from '../createRolloutStore';

/** Behaviour of the new version's servers, in addition to the failures of both versions. */
export const VersionTrait = {
  Good: 'good',
  FailsHalf: 'fails-half',
  Slow: 'slow',
  FailsLater: 'fails-later',
  FailsOneRoute: 'fails-one-route',
} as const;

export type VersionTrait = (typeof VersionTrait)[keyof typeof VersionTrait];

/** A roll-out simulated in virtual time. */
export interface RolloutSimulation {
  readonly seed: number;
  readonly vms: number;
  readonly trait: VersionTrait;
  readonly requestsPerS: number;
  readonly durationMs: number;
  /** Fraction of the requests that fail on either version. */
  readonly failing: number;
  /** When the primary judge's VM is permanently lost; null: never. */
  readonly judgeLostAtMs?: number | null;
  /** When all processes restart; null: never. */
  readonly restartAtMs?: number | null;
  /** Period in which the store is unavailable, counted from the order. */
  readonly storeAway?: { readonly fromMs: number; readonly untilMs: number };
}

/** Results of the simulation. */
export interface RolloutSimulationResult {
  /** Final state in the store, as operators read it; null: nothing was written. */
  readonly state: RolloutState | null;
  readonly requests: number;
  /** Requests that reached the new version before the roll-out was completed. */
  readonly trials: number;
  /** Time from the new version's 50th failed or slow answer to its last request; 0 if none. */
  readonly lateMs: number;
  readonly storeCalls: number;
}

const SERVICE = 's';
const ROUTES = ['r-1', 'r-2', 'r-3'];
const SERVERS_PER_VERSION = 4;

/** The order arrives after all VMs have run for a while. */
const ORDER_AT_MS = 12_000;
const FAULT_DELAY_MS = 4000;
const LATENCY_MS = 40;
const SLOW_FACTOR = 4;
const CALL_MS = 3;

/** Gossip takes up to this long to bring a verdict to every VM. */
const MAX_GOSSIP_MS = 1500;

const POOR_ANSWER_THRESHOLD = 50;
const STEP_MS = 50;

interface Vm {
  readonly peer: RolloutPeer;
  readonly rollouts: RolloutRegistry;
  readonly judge: RolloutJudge;
  isUp: boolean;
}

const listServers = (version: string): readonly ServerStatus[] =>
  Array.from({ length: SERVERS_PER_VERSION }, (_, index) => {
    const status = buildServerStatus(`${version}-${index}`, 'z1');
    return { ...status, entry: { ...status.entry, version } };
  });

/** Simulates a roll-out in virtual time, with the production code of decisions and reports. */
export const simulateRollout = async (
  model: RolloutSimulation,
): Promise<RolloutSimulationResult> => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(model.seed);
  const draw = (): number => randomness.readFraction();
  const isStoreUnavailable = (): boolean => {
    const sinceMs = clock.readMonotonicMs() - ORDER_AT_MS;
    const { fromMs = Infinity, untilMs = Infinity } = model.storeAway ?? {};
    return sinceMs >= fromMs && sinceMs < untilMs;
  };
  const store = createRolloutStore(clock, isStoreUnavailable);
  const codec = createRolloutCodec();
  const established = listServers('v1');
  const all = [...established, ...listServers('v2')];
  /** Servers of the new version exist from the order on. */
  const isOrdered = (): boolean => clock.readMonotonicMs() >= ORDER_AT_MS;
  const order: SharedRow = { key: `rollout/${SERVICE}`, value: Buffer.from('x'), version: 7 };
  const vms = new Map<string, Vm>();

  const listPeers = (self: string): readonly RolloutPeer[] =>
    [...vms.values()].filter(({ isUp, peer }) => isUp && peer.vm !== self).map(({ peer }) => peer);

  const startVm = (name: string, hasOrder: boolean): void => {
    let watch: RolloutJudge['watch'] = () => undefined;
    let recordEvidence: TrialReporter['recordEvidence'] = () => undefined;
    const rollouts: RolloutRegistry = createRolloutRegistry({
      decodeOrder: ({ version }) =>
        ok({ service: SERVICE, to: 'v2', durationMs: model.durationMs, sequence: version }),
      bounds: { trialRatio: 0.1, trialExtra: 50 },
      listServing: () => (isOrdered() ? all : established),
      readShare: () => 1 / model.vms,
      clock,
      log: QUIET_LOG,
      randomness,
      broadcastVerdict: (verdict: RolloutVerdict) =>
        listPeers(name).forEach(({ vm }) =>
          clock.startTimer(draw() * MAX_GOSSIP_MS, () =>
            vms.get(vm)?.rollouts.mergeVerdict(verdict),
          ),
        ),
      handleChange: (service) => watch(service),
      handleEvidence: (service) => recordEvidence(service),
    });
    const rows = createVerdictStore({ codec, store, rollouts, clock, log: QUIET_LOG });
    const judge = createRolloutJudge({
      self: name,
      listPeers: () => listPeers(name),
      rollouts,
      verdictStore: rows,
      clock,
      log: QUIET_LOG,
    });
    const reporter = createTrialReporter({
      self: name,
      incarnation: String(clock.readMonotonicMs()),
      listPeers: () => listPeers(name),
      sendReport: (address, report) =>
        new Promise((resolve) => {
          clock.startTimer(CALL_MS, () => {
            const vm = vms.get(address);
            resolve(vm?.isUp ? vm.judge.handleReport(report) : null);
          });
        }),
      judge,
      rollouts,
      clock,
      log: QUIET_LOG,
    });
    watch = judge.watch;
    recordEvidence = reporter.recordEvidence;
    vms.set(name, { peer: { vm: name, address: name }, rollouts, judge, isUp: true });
    rollouts.applyRows(hasOrder ? [order] : []);
  };

  const names = Array.from({ length: model.vms }, (_, index) => `vm-${index}`);
  names.forEach((name) => startVm(name, false));

  let requests = 0;
  let trials = 0;
  let poor = 0;
  let degradedAtMs: number | null = null;
  let lateMs = 0;
  const isBad = (route: string): boolean => {
    const sinceMs = clock.readMonotonicMs() - ORDER_AT_MS;
    if (model.trait === VersionTrait.FailsHalf) return draw() < 0.5;
    if (model.trait === VersionTrait.FailsLater) return sinceMs > FAULT_DELAY_MS && draw() < 0.7;
    return model.trait === VersionTrait.FailsOneRoute && route === ROUTES[0] && draw() < 0.8;
  };

  const isCompleted = (): boolean => {
    const row = store.find(`rollout/${SERVICE}`);
    const read = row ? codec.decode(row) : null;
    return read?.isOk() === true && read.value.verdict.state === RolloutState.Completed;
  };

  const sendRequest = (): void => {
    const up = [...vms.values()].filter(({ isUp }) => isUp);
    const vm = up[Math.floor(draw() * up.length)];
    const route = ROUTES[Math.floor(draw() * ROUTES.length)] as string;
    if (!vm) return;
    const request = vm.rollouts.openRequest({ service: SERVICE, route });
    const listed = request.list();
    const server = listed[Math.floor(draw() * listed.length)]?.entry;
    if (!server) return;
    if (isOrdered()) requests += 1;
    request.recordSent(server);
    const isCandidate = server.version === 'v2';
    const isSwitching = vm.rollouts.find(SERVICE)?.verdict.state === RolloutState.Switching;
    if (isCandidate && !isCompleted() && (model.trait !== VersionTrait.Good || !isSwitching)) {
      trials += 1;
      if (degradedAtMs !== null) lateMs = Math.max(lateMs, clock.readMonotonicMs() - degradedAtMs);
    }
    const isFailure = draw() < model.failing || (isCandidate && isBad(route));
    const isSlow = isCandidate && model.trait === VersionTrait.Slow;
    const latencyMs = LATENCY_MS * (0.5 + draw()) * (isSlow ? SLOW_FACTOR : 1);
    clock.startTimer(latencyMs, () => {
      if (isCandidate && (isFailure || isSlow)) poor += 1;
      if (poor >= POOR_ANSWER_THRESHOLD) degradedAtMs ??= clock.readMonotonicMs();
      request.recordOutcome(server, { isFailure, duration: isFailure ? null : latencyMs });
    });
  };

  clock.startTimer(ORDER_AT_MS, () =>
    vms.forEach(({ rollouts }) =>
      // The store's feed and the replication within zones reach each VM at a different time.
      clock.startTimer(draw() * 300, () => rollouts.applyRows([order])),
    ),
  );
  const startAt = (atMs: number | null | undefined, run: () => void): void => {
    if (atMs !== null && atMs !== undefined) clock.startTimer(ORDER_AT_MS + atMs, run);
  };
  startAt(model.judgeLostAtMs, () => {
    const judging = names.find((name) => vms.get(name)?.judge.isPrimaryJudge(SERVICE)) ?? names[0];
    const vm = vms.get(judging ?? '');
    vm?.judge.stop();
    if (vm) vm.isUp = false;
  });
  startAt(model.restartAtMs, () => {
    vms.forEach(({ judge }) => judge.stop());
    names.forEach((name) => startVm(name, true));
  });
  const untilMs = ORDER_AT_MS + model.durationMs;
  for (let atMs = 0; atMs < untilMs; atMs += STEP_MS) {
    const count = (model.requestsPerS * STEP_MS) / 1000;
    for (let index = 0; index < count; index += 1) {
      if (index + 1 <= count || draw() < count % 1) clock.startTimer(draw() * STEP_MS, sendRequest);
    }
    await clock.advanceAsync(STEP_MS);
  }
  const row = store.find(`rollout/${SERVICE}`);
  const stored = row ? codec.decode(row) : null;
  vms.forEach(({ judge }) => judge.stop());
  return {
    state: stored?.isOk() ? stored.value.verdict.state : null,
    requests,
    trials,
    lateMs,
    storeCalls: store.countCalls(),
  };
};
