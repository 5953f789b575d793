import type { Randomness } from '../../../../../src/application/ports';
import type { BenchCaller, BreakKind, CallerResult } from '../../types';
import { breakGenerations, restoreSystem } from '../breakGenerations';
import type { BenchSystem } from '../startBenchSystem';

/** Result of a caller, with the prefix of its stream ids. */
export interface EndedCaller {
  readonly streamPrefix: string;
  readonly result: CallerResult;
}

/** Options of `runRounds`. */
export interface RoundsOptions {
  readonly kind: BreakKind;
  readonly system: BenchSystem;
  readonly randomness: Randomness;
  /** Number of broken generations after which the run ends. */
  readonly generations: number;
  /** Number of faults injected in each round. */
  readonly breaksPerRound: number;
  /** Starts the callers of a round. */
  readonly startCallers: () => readonly BenchCaller[];
  readonly handleRound: (broken: number) => void;
}

/** Largest number of tokens that the chosen caller has received when the fault is injected. */
const MAX_BREAK_TOKEN = 100;

/** Ends the run if callers fail to run at all, so that no generation can be broken. */
const MAX_ROUNDS = 200;

function choose<T>(values: readonly T[], randomness: Randomness): T | undefined {
  return values[Math.floor(randomness.readFraction() * values.length)];
}

async function runRound(options: RoundsOptions): Promise<readonly EndedCaller[]> {
  const { kind, system, randomness } = options;
  const callers = options.startCallers();
  const breakOnce = async () => {
    const caller = choose(callers, randomness);
    const count = 1 + Math.floor(randomness.readFraction() * MAX_BREAK_TOKEN);
    const isRunning = await caller?.waitForTokens(count);
    if (isRunning && caller) await breakGenerations(kind, system, caller, callers);
  };
  await Promise.all(Array.from({ length: options.breaksPerRound }, breakOnce));
  const results = await Promise.all(callers.map((caller) => caller.result));
  await restoreSystem(system);
  return results.map((result, index) => ({
    streamPrefix: callers[index]?.readStreamPrefix() ?? '',
    result,
  }));
}

/**
 * Runs rounds of callers and breaks until enough generations were broken.
 *
 * The first round is a warm-up and not measured: in it the processes compile their code.
 */
export async function runRounds(options: RoundsOptions): Promise<readonly EndedCaller[]> {
  const ended: EndedCaller[] = [];
  await runRound(options);
  const countBroken = () => ended.filter(({ result }) => result.breaks > 0).length;
  for (let round = 0; round < MAX_ROUNDS && countBroken() < options.generations; round += 1) {
    ended.push(...(await runRound(options)));
    options.handleRound(countBroken());
  }
  return ended;
}
