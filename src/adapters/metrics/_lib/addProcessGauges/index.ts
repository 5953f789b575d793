import type { Registry } from 'prom-client';
import { addGauge } from '../addGauge';

const MICROSECONDS_PER_S = 1e6;

/**
 * Adds gauges of the process's own processor time and memory.
 *
 * The library's default metrics start timers and observers. These three are read on demand only,
 * since the processor budget for control work is small.
 */
export const addProcessGauges = (registry: Registry): void => {
  const add = (name: string, help: string, read: () => number): void =>
    addGauge(registry, name, help, read);
  add('process_cpu_seconds_total', 'User and system processor time, in seconds.', () => {
    const { system, user } = process.cpuUsage();
    return (system + user) / MICROSECONDS_PER_S;
  });
  add('process_resident_memory_bytes', 'Resident memory, in bytes.', () =>
    process.memoryUsage.rss(),
  );
  add(
    'nodejs_heap_size_used_bytes',
    'Heap in use, in bytes.',
    () => process.memoryUsage().heapUsed,
  );
};
