import { AttemptState, FaultKind, type StandInEngine } from '../../../../../standins/engine';
import { BreakKind, type BenchCaller } from '../../types';
import type { BenchSystem } from '../startBenchSystem';

const LIVE_STATES: ReadonlySet<AttemptState> = new Set([
  AttemptState.Waiting,
  AttemptState.Prefill,
  AttemptState.Decoding,
]);

/** Finds the engine of the caller's latest attempt: earlier ones may be frozen on other engines. */
function findEngine(system: BenchSystem, caller: BenchCaller): StandInEngine | undefined {
  const prefix = caller.readStreamPrefix();
  const attempts = [...system.backends.engines.values()].flatMap((engine) =>
    engine
      .listAttempts()
      .filter(({ state, streamId }) => LIVE_STATES.has(state) && streamId.startsWith(prefix))
      .map(({ streamId }) => ({ engine, number: Number(streamId.split('.')[1]) })),
  );
  return attempts.sort((one, other) => other.number - one.number)[0]?.engine;
}

/** Lists the callers that have a live stream at one of the engines. */
function listCallersAt(
  engines: readonly StandInEngine[],
  callers: readonly BenchCaller[],
): readonly BenchCaller[] {
  const streamIds = engines.flatMap((engine) =>
    engine
      .listAttempts()
      .filter(({ state }) => LIVE_STATES.has(state))
      .map(({ streamId }) => streamId),
  );
  return callers.filter((caller) => {
    const prefix = caller.readStreamPrefix();
    return prefix !== '' && streamIds.some((streamId) => streamId.startsWith(prefix));
  });
}

interface Target {
  readonly engine: StandInEngine;
  readonly callers: readonly BenchCaller[];
}

type FaultInjector = (system: BenchSystem, target: Target) => Promise<void>;

const createEngineFaultInjector =
  (fault: FaultKind): FaultInjector =>
  async (_system, { engine, callers }) => {
    listCallersAt([engine], callers).forEach((caller) => caller.recordBreak());
    engine.applyFault(fault);
  };

const killZone: FaultInjector = async (system, { engine, callers }) => {
  const servers = system.backends.configuration.backendServers;
  const zone = servers.find(({ name }) => name === engine.name)?.availabilityZone ?? '';
  const names = servers.filter((one) => one.availabilityZone === zone).map(({ name }) => name);
  const engines = [...system.backends.engines.values()].filter(({ name }) => names.includes(name));
  const lostUrls = system
    .listEntries()
    .filter((entry) => entry.availabilityZone === zone)
    .map(({ url }) => url);
  const atEngines = listCallersAt(engines, callers);
  const broken = callers.filter(
    (caller) => atEngines.includes(caller) || lostUrls.includes(caller.readUrl()),
  );
  broken.forEach((caller) => caller.recordBreak());
  const ended = system.killEntries(zone);
  engines.forEach((one) => one.applyFault(FaultKind.Kill));
  await ended;
};

const FAULT_INJECTORS: Readonly<Record<BreakKind, FaultInjector>> = {
  [BreakKind.Kill]: createEngineFaultInjector(FaultKind.Kill),
  [BreakKind.Freeze]: createEngineFaultInjector(FaultKind.Freeze),
  [BreakKind.Zone]: killZone,
};

/**
 * Injects a fault into the engine, or its zone, that serves one caller; this breaks the generations
 * of all callers there.
 *
 * @returns false if no engine serves the caller any more
 */
export async function breakGenerations(
  kind: BreakKind,
  system: BenchSystem,
  caller: BenchCaller,
  callers: readonly BenchCaller[],
): Promise<boolean> {
  const engine = findEngine(system, caller);
  if (engine === undefined) return false;
  await FAULT_INJECTORS[kind](system, { engine, callers });
  return true;
}

/** Restarts and unfreezes the engines and replaces the killed entries. */
export async function restoreSystem(system: BenchSystem): Promise<void> {
  const engines = [...system.backends.engines.values()];
  await Promise.all(engines.map((engine) => engine.restart()));
  engines.forEach((engine) => engine.applyFault(FaultKind.Unfreeze));
  await system.replaceEntries();
}
