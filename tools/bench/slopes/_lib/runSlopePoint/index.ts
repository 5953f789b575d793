import type { SlopeLoad, SlopePoint } from '../../types';
import { readProcessUsage } from '../readProcessUsage';
import { startKeyedRequests } from '../startKeyedRequests';
import { startSlopeSystem, type SlopeSystem } from '../startSlopeSystem';
import { startStreams } from '../startStreams';

/** Duration of the measurement of a point. */
export interface SlopeWindow {
  /** Time for start-up work to settle before the measurement, in milliseconds. */
  readonly settleMs: number;
  readonly windowMs: number;
}

const MS_PER_S = 1000;
const BYTES_PER_MB = 1024 * 1024;
const PERCENT = 100;

const waitMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const readUsage = async ({ entryUrl, keeperUrl }: SlopeSystem) => ({
  entry: await readProcessUsage(entryUrl),
  keeper: await readProcessUsage(keeperUrl),
});

const measureWindow = async (
  system: SlopeSystem,
  { settleMs, windowMs }: SlopeWindow,
): Promise<Omit<SlopePoint, 'size'>> => {
  const { table } = system.platform;
  await waitMs(settleMs);
  table.resetCounts();
  const before = await readUsage(system);
  const startedMs = performance.now();
  await waitMs(windowMs);
  const elapsedS = (performance.now() - startedMs) / MS_PER_S;
  const { entry, keeper } = await readUsage(system);
  const { reads, writes } = table.readCounts();
  return {
    cpuPercent: ((entry.cpuS - before.entry.cpuS) / elapsedS) * PERCENT,
    residentMb: entry.residentBytes / BYTES_PER_MB,
    heapMb: entry.heapBytes / BYTES_PER_MB,
    keeperCpuPercent: ((keeper.cpuS - before.keeper.cpuS) / elapsedS) * PERCENT,
    keeperResidentMb: keeper.residentBytes / BYTES_PER_MB,
    tableReadsPerS: reads / elapsedS,
    tableWritesPerS: writes / elapsedS,
  };
};

/** Runs one system of a given size and measures its first entry and keeper. */
export async function runSlopePoint(
  load: SlopeLoad,
  window: SlopeWindow,
): Promise<Omit<SlopePoint, 'size'>> {
  const system = await startSlopeSystem(load);
  const stopStreams = startStreams(system.entryUrl, load.streams);
  const stopRequests = startKeyedRequests(system.entryUrl, load.keyedRequests);
  try {
    return await measureWindow(system, window);
  } finally {
    await stopRequests();
    await stopStreams();
    await system.stop();
  }
}
