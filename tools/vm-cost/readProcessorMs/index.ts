import { readFileSync } from 'node:fs';

/** Fields of /proc/PID/stat after the program's name: processor time in user and system mode. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

const TICK_MS = 10;

/** Reads the processor time that a process has used, in milliseconds (Linux). */
export const readProcessorMs = (pid: number): number => {
  const [, rest = ''] = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ');
  const fields = rest.split(' ').map(Number);
  return ((fields[USER_FIELD] ?? 0) + (fields[SYSTEM_FIELD] ?? 0)) * TICK_MS;
};
