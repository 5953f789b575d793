import type { Randomness } from '../../../../../src/application/ports';
import type { BenchCaller, BreakKind, CallerResult } from '../../types';
import { breakGenerations, restoreSystem } from '../breakGenerations';
import type { BenchSystem } from '../startBenchSystem';

/** A caller with how it ended. */
export interface EndedCaller {
  readonly streamPrefix: string;
  readonly result: CallerResult;
}

/** What a run of rounds does. */
export interface RoundsOptions {
  readonly kind: BreakKind;
  readonly system: BenchSystem;
  readonly randomness: Randomness;
  /** Broken generations after which it ends. */
  readonly generations: number;
  /** Breaks in each round. */
  readonly breaksPerRound: number;
  /** Starts the callers of a round. */
  readonly startCallers: () => readonly BenchCaller[];
  readonly handleRound: (broken: number) => void;
}

/** Tokens that a caller has, at most, when what serves it breaks. */
const MAX_BREAK_TOKEN = 100;

/** More rounds than this bring no more: something keeps callers from running at all. */
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
 * The first round is not measured: in it the processes compile the code that the others run.
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
