import type { LogLine } from '../parseLogLine';

/** State that a VM assumed of a subject at the time of a log line. */
export interface Belief {
  /** A server id, `configuration`, `this VM` or `store` with a table name. */
  readonly subject: string;
  readonly belief: string;
  /** How long the VM had assumed this state, in milliseconds. */
  readonly ageMs: number;
}

/** The latest line of a VM that changed a belief, by subject. */
export type Beliefs = ReadonlyMap<string, LogLine>;

const readText = (value: unknown): string => (typeof value === 'string' ? value : '');

/** Subject of each log event that changes a belief. */
const SUBJECTS: Readonly<Record<string, (fields: LogLine['fields']) => string>> = {
  'server known': ({ server }) => readText(server),
  'server leaving': ({ server }) => readText(server),
  'server gone': ({ server }) => readText(server),
  'server suspected': ({ server }) => readText(server),
  'server entry lapsed in an outage': ({ server }) => readText(server),
  'configuration in force': () => 'configuration',
  'store lost': ({ table }) => `store ${readText(table)}`,
  'store regained': ({ table }) => `store ${readText(table)}`,
  'gateway draining': () => 'this VM',
};

const renderBelief = ({ fields, message }: LogLine): string => {
  const details = Object.entries(fields)
    .filter(([name]) => name !== 'server' && name !== 'table')
    .map(([name, value]) => `${name}=${String(value)}`);
  return [message, ...details].join(' ');
};

/** Finds the subject of a line that changes a belief of its VM; null for other lines. */
export const findSubject = ({ fields, message }: LogLine): string | null =>
  SUBJECTS[message]?.(fields) ?? null;

const SHARED_SUBJECTS: ReadonlySet<string> = new Set(['configuration', 'this VM']);

/** Finds the beliefs of a VM about the subjects that affect one of its lines. */
export const findBeliefs = (line: LogLine, beliefs: Beliefs): readonly Belief[] =>
  [...beliefs]
    .filter(
      ([subject]) =>
        SHARED_SUBJECTS.has(subject) ||
        subject.startsWith('store ') ||
        Object.values(line.fields).includes(subject),
    )
    .filter(([, { message }]) => message !== 'store regained')
    .map(([subject, found]) => ({
      subject,
      belief: renderBelief(found),
      ageMs: Math.max(0, Math.round(line.timeMs - found.timeMs)),
    }));
