import {
  createCrashHistory,
  createForwarder,
  createRetryBudget,
  createRetryLender,
  type Forwarder,
  type ServerDirectory,
} from '../../../src/application/forwarding';
import { createServerLimits } from '../../../src/application/limits';
import { createRolloutRegistry } from '../../../src/application/rollouts';
import { RouteKind, type RouteTable } from '../../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';
import { createModelDirectory, MODEL_SERVICE, MODEL_ZONES } from '../createModelDirectory';
import { createModelClient } from '../createModelClient';
import { createModelCaller, type CallerOutcome } from '../createModelCaller';
import { createModelEngine, type ModelEngine } from '../createModelEngine';

/** A load on engines in virtual time. */
export interface ModelLoad {
  readonly seed: number;
  readonly engines: number;
  readonly vms: number;
  /** Streams that begin in each second, by second. */
  readonly streamsPerS: readonly number[];
  /** Tokens of a prompt, give or take 15 in 100; 8,200 if absent. */
  readonly promptTokens?: number;
  /** Streams that begin within 40 ms of each other; 1 if absent. */
  readonly bunch?: number;
  /** Engines that are down from one second to another. */
  readonly down: { readonly count: number; readonly fromS: number; readonly untilS: number };
}

/** What callers got, and what it cost. */
export interface ModelResult {
  readonly outcomes: readonly CallerOutcome[];
  /** Streams whose first event came within the goal, and that are whole. */
  readonly inTime: number;
  readonly sends: number;
  /** Prompt tokens read per stream that was served in time. */
  readonly readTokensPerStream: number;
}

const GOAL_MS = 4500;
const DEADLINE_MS = 25_000;
const PROMPT_TOKENS = 8200;

/** Callers' deadlines and prompts differ by up to this part. */
const SPREAD = 0.15;

/** Streams of a bunch begin within this time. */
const BUNCH_MS = 40;

/** Time of a message from one VM to another. */
const TELL_MS = 2;

const STEP_MS = 100;

const TABLE: RouteTable = {
  version: 1,
  routesByHost: new Map([
    [
      'h',
      [
        {
          name: 'r',
          host: 'h',
          prefix: '/p/',
          kind: RouteKind.Stream,
          resumable: true,
          timeoutMs: DEADLINE_MS,
          latencyGoalMs: GOAL_MS,
          gapGoalMs: 700,
          priority: 1,
          maxAttempts: 5,
          isPublic: true,
          targets: [{ service: MODEL_SERVICE, weight: 1 }],
        },
      ],
    ],
  ]),
  services: new Map([[MODEL_SERVICE, { name: MODEL_SERVICE, healthPath: '/', engine: null }]]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  holdersByKey: null,
};

/** Plays a load over the gateways' own code, engines and callers in virtual time. */
export const runModelLoad = async (load: ModelLoad): Promise<ModelResult> => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(load.seed);
  const engines = new Map<string, ModelEngine>(
    Array.from({ length: load.engines }, (_, index) => [`e-${index}`, createModelEngine(clock)]),
  );
  const find = (id: string): ModelEngine => {
    const engine = engines.get(id);
    if (!engine) throw new Error(`no engine ${id}`);
    return engine;
  };
  const client = createModelClient(find);

  const directories: ServerDirectory[] = [];
  const createGateway = (index: number): Forwarder => {
    const directory = createModelDirectory(clock, [...engines.keys()]);
    directories.push(directory);
    const retries = createRetryBudget({
      bounds: { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 },
      clock,
      countVms: () => load.vms,
    });
    return createForwarder({
      availabilityZone: `z${index % MODEL_ZONES}`,
      client,
      clock,
      crashes: createCrashHistory({
        clock,
        log: QUIET_LOG,
        hasAnsweredSince: directory.hasAnsweredSince,
        publishOutcome: () => undefined,
        handleQuarantine: () => undefined,
      }),
      crashProbe: { startProbe: () => undefined },
      directory,
      limits: createServerLimits({ clock, log: QUIET_LOG, publishLimit: () => undefined }),
      permits: { acquirePermit: async () => ({ release: () => undefined }) },
      log: QUIET_LOG,
      meter: { recordRequest: () => undefined, recordResume: () => undefined },
      randomness,
      retries,
      rollouts: createRolloutRegistry({
        decodeOrder: () => null,
        bounds: { trialRatio: 0.1, trialExtra: 50 },
        listServing: directory.listServing,
        countVms: () => load.vms,
        clock,
        log: QUIET_LOG,
        randomness,
        broadcastVerdict: () => undefined,
        handleChange: () => undefined,
        handleEvidence: () => undefined,
      }),
      lender: createRetryLender({
        retries,
        log: QUIET_LOG,
        pickPeers: () => [],
        askPeer: async () => false,
      }),
      tables: {
        readCurrent: () => TABLE,
        applyRows: () => undefined,
        addListener: () => undefined,
      },
      reservePrompt: async () => 0,
      tellPrompt: (server, tokens) => {
        clock.startTimer(TELL_MS, () =>
          directories
            .filter((other) => other !== directory)
            .forEach((other) => other.recordPeerPrompt(server, tokens)),
        );
      },
    });
  };
  const gateways = Array.from({ length: load.vms }, (_, index) => createGateway(index));
  const draw = (): number => randomness.readFraction();
  const pickForwarder = (): Forwarder =>
    gateways[Math.floor(draw() * gateways.length)] as Forwarder;

  const callers: Promise<CallerOutcome>[] = [];
  const startCaller = (): void => {
    callers.push(
      createModelCaller({
        id: `c-${callers.length}`,
        clock,
        deadlineMs: DEADLINE_MS * (1 - SPREAD * draw()),
        promptTokens: Math.round(
          (load.promptTokens ?? PROMPT_TOKENS) * (1 - SPREAD + 2 * SPREAD * draw()),
        ),
        pickForwarder,
      }),
    );
  };
  load.streamsPerS.forEach((count, second) => {
    const bunch = load.bunch ?? 1;
    for (let index = 0; index < count; index += bunch) {
      const atMs = (second + draw()) * 1000;
      Array.from({ length: Math.min(bunch, count - index) }, () =>
        clock.startTimer(atMs + draw() * BUNCH_MS, startCaller),
      );
    }
  });
  const downEngines = [...engines.values()].slice(0, load.down.count);
  clock.startTimer(load.down.fromS * 1000, () => downEngines.forEach((one) => one.crash()));
  clock.startTimer(load.down.untilS * 1000, () => downEngines.forEach((one) => one.recover()));
  const lastsMs = load.streamsPerS.length * 1000 + DEADLINE_MS + 1000;
  for (let atMs = 0; atMs < lastsMs; atMs += STEP_MS) await clock.advanceAsync(STEP_MS);

  const outcomes = await Promise.all(callers);
  const inTime = outcomes.filter(
    ({ firstEventMs, isWhole }) => isWhole && firstEventMs !== null && firstEventMs <= GOAL_MS,
  ).length;
  const readTokens = [...engines.values()].reduce((sum, one) => sum + one.countReadTokens(), 0);
  const sends = client.countSends();
  return { outcomes, inTime, sends, readTokensPerStream: readTokens / Math.max(1, inTime) };
};
