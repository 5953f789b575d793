import { createCrashHistory } from '../../../src/application/crashes';
import type { Forwarder, ServerDirectory } from '../../../src/application/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';
import { createSimulatedDirectory } from '../createSimulatedDirectory';
import {
  createSimulatedForwarder,
  DEADLINE_MS,
  FIRST_EVENT_GOAL_MS,
} from '../createSimulatedForwarder';
import { createSimulatedClient } from '../createSimulatedClient';
import { createSimulatedCaller, type CallerOutcome } from '../createSimulatedCaller';
import { createSimulatedEngine, type SimulatedEngine } from '../createSimulatedEngine';

/** A load on engines, simulated in virtual time. */
export interface SimulatedLoad {
  readonly seed: number;
  readonly engines: number;
  readonly vms: number;
  /** Number of streams that begin in each second. */
  readonly streamsPerS: readonly number[];
  /** Tokens of a prompt, varied by up to 15 %; 8,200 by default. */
  readonly promptTokens?: number;
  /** Number of streams that begin within 40 ms of each other; 1 by default. */
  readonly burstSize?: number;
  /** Number of engines that are down, and the seconds from and until which they are. */
  readonly outage: { readonly count: number; readonly fromS: number; readonly untilS: number };
}

/** Results of the callers and the work that they took. */
export interface SimulatedLoadResult {
  readonly outcomes: readonly CallerOutcome[];
  /** Number of complete streams whose first event arrived within the goal. */
  readonly withinGoal: number;
  readonly attempts: number;
  /** Prompt tokens prefilled per stream within the goal. */
  readonly prefillTokensPerStream: number;
}

const PROMPT_TOKENS = 8200;

/** Relative spread of the callers' deadlines and prompt lengths. */
const SPREAD = 0.15;

/** The streams of a burst begin within this time. */
const BURST_MS = 40;

/** Delay of a message from one VM to another. */
const MESSAGE_MS = 2;

const STEP_MS = 100;

/** Simulates gateways, which run the production code, with engines and callers in virtual time. */
export const simulateLoad = async (load: SimulatedLoad): Promise<SimulatedLoadResult> => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(load.seed);
  const engines = new Map<string, SimulatedEngine>(
    Array.from({ length: load.engines }, (_, index) => [
      `e-${index}`,
      createSimulatedEngine(clock),
    ]),
  );
  const findEngine = (id: string): SimulatedEngine => {
    const engine = engines.get(id);
    if (!engine) throw new Error(`no engine ${id}`);
    return engine;
  };
  const client = createSimulatedClient(findEngine);

  const directories: ServerDirectory[] = [];
  const createGateway = (index: number): Forwarder => {
    const directory = createSimulatedDirectory(clock, [...engines.keys()]);
    directories.push(directory);
    return createSimulatedForwarder({
      index,
      vms: load.vms,
      client,
      clock,
      crashes: createCrashHistory({
        clock,
        log: QUIET_LOG,
        hasAnsweredSince: directory.hasAnsweredSince,
        publishOutcome: () => undefined,
        handleQuarantine: () => undefined,
      }),
      directory,
      randomness,
      tellPrompt: (server, tokens) => {
        clock.startTimer(MESSAGE_MS, () =>
          directories
            .filter((other) => other !== directory)
            .forEach((other) => other.recordPeerPrompt(server, tokens)),
        );
      },
    });
  };
  const gateways = Array.from({ length: load.vms }, (_, index) => createGateway(index));
  const drawFraction = (): number => randomness.readFraction();
  const pickForwarder = (): Forwarder =>
    gateways[Math.floor(drawFraction() * gateways.length)] as Forwarder;

  const callers: Promise<CallerOutcome>[] = [];
  const startCaller = (): void => {
    callers.push(
      createSimulatedCaller({
        id: `c-${callers.length}`,
        clock,
        deadlineMs: DEADLINE_MS * (1 - SPREAD * drawFraction()),
        promptTokens: Math.round(
          (load.promptTokens ?? PROMPT_TOKENS) * (1 - SPREAD + 2 * SPREAD * drawFraction()),
        ),
        pickForwarder,
      }),
    );
  };
  load.streamsPerS.forEach((count, second) => {
    const burstSize = load.burstSize ?? 1;
    for (let index = 0; index < count; index += burstSize) {
      const atMs = (second + drawFraction()) * 1000;
      Array.from({ length: Math.min(burstSize, count - index) }, () =>
        clock.startTimer(atMs + drawFraction() * BURST_MS, startCaller),
      );
    }
  });
  const downEngines = [...engines.values()].slice(0, load.outage.count);
  clock.startTimer(load.outage.fromS * 1000, () => downEngines.forEach((one) => one.crash()));
  clock.startTimer(load.outage.untilS * 1000, () => downEngines.forEach((one) => one.recover()));
  const totalMs = load.streamsPerS.length * 1000 + DEADLINE_MS + 1000;
  for (let atMs = 0; atMs < totalMs; atMs += STEP_MS) await clock.advanceAsync(STEP_MS);

  const outcomes = await Promise.all(callers);
  const withinGoal = outcomes.filter(
    ({ firstEventMs, isComplete }) =>
      isComplete && firstEventMs !== null && firstEventMs <= FIRST_EVENT_GOAL_MS,
  ).length;
  const prefilledTokens = [...engines.values()].reduce(
    (sum, one) => sum + one.countPrefilledTokens(),
    0,
  );
  const attempts = client.countAttempts();
  return {
    outcomes,
    withinGoal,
    attempts,
    prefillTokensPerStream: prefilledTokens / Math.max(1, withinGoal),
  };
};
