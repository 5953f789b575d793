import type { Registry } from 'prom-client';
import { addGauge } from '../addGauge';

const MICROSECONDS_PER_S = 1e6;

/**
 * Adds what the process itself uses: processor time and memory.
 *
 * The library's own default metrics start timers and observers; these three are read on demand only,
 * since a node may spend little on control.
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
