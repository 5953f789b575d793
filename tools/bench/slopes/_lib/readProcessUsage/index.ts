/** Resource usage that a process reports. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
}

const readGauge = (text: string, name: string): number => {
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  if (line === undefined) throw new Error(`no metric named ${name}`);
  return Number(line.slice(name.length + 1));
};

/** Reads the resource usage of a process from its metrics. */
export async function readProcessUsage(url: string): Promise<ProcessUsage> {
  const response = await fetch(`${url}/metrics`);
  const text = await response.text();
  return {
    cpuS: readGauge(text, 'process_cpu_seconds_total'),
    residentBytes: readGauge(text, 'process_resident_memory_bytes'),
    heapBytes: readGauge(text, 'nodejs_heap_size_used_bytes'),
  };
}
