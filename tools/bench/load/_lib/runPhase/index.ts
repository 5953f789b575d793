import { setMaxListeners } from 'node:events';
import { setTimeout as wait } from 'node:timers/promises';
import type { Clock } from '../../../../../src/application/ports';
import type { Arrival, RequestRecord } from '../../types';
import type { BenchEntry } from '../createBenchEntry';
import { runBenchRequest } from '../runBenchRequest';

/** Time after the end of the window in which running requests may finish. */
const DRAIN_MS = 3000;

const MS_PER_SECOND = 1000;

/** Records of a phase, with the window of measurement. */
export interface PhaseRecords {
  readonly records: readonly RequestRecord[];
  readonly windowStartMs: number;
  readonly windowEndMs: number;
}

/** Options of a phase. */
export interface PhaseOptions {
  readonly seconds: number;
  /** Length of the unmeasured start of the phase, in which queues and batches fill. */
  readonly warmUpSeconds: number;
  readonly clientRoundTripMs: number;
}

/** Sends each request at its arrival time, even if earlier ones still run (open loop). */
export async function runPhase(
  arrivals: readonly Arrival[],
  entries: readonly BenchEntry[],
  clock: Clock,
  options: PhaseOptions,
): Promise<PhaseRecords> {
  const end = new AbortController();
  // Every running request adds a listener to the signal.
  setMaxListeners(0, end.signal);
  const { clientRoundTripMs } = options;
  const context = { clock, clientRoundTripMs, signal: end.signal };
  const startMs = clock.readMonotonicMs();
  const running: Promise<RequestRecord>[] = [];
  for (let index = 0; index < arrivals.length; index += 1) {
    const arrival = arrivals[index]!;
    const delayMs = startMs + arrival.atMs - clock.readMonotonicMs();
    if (delayMs > 0) await wait(delayMs);
    const entry = entries[arrival.entry];
    if (entry) running.push(runBenchRequest(arrival, entry, context));
  }
  const windowEndMs = startMs + options.seconds * MS_PER_SECOND;
  await wait(Math.max(0, windowEndMs - clock.readMonotonicMs()));
  const all = Promise.all(running);
  await Promise.race([all, wait(DRAIN_MS)]);
  end.abort();
  return {
    records: await all,
    windowStartMs: startMs + options.warmUpSeconds * MS_PER_SECOND,
    windowEndMs,
  };
}
