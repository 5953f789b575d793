import type { LogLine } from '../parseLogLine';

/** What a VM believed when it decided something. */
export interface Belief {
  /** What it is about. */
  readonly subject: string;
  readonly belief: string;
  /** How long the VM had believed it, in milliseconds. */
  readonly ageMs: number;
}

/** The latest line on a VM that changes a belief about one subject. */
export type Beliefs = ReadonlyMap<string, LogLine>;

const readText = (value: unknown): string => (typeof value === 'string' ? value : '');

/** How lines that change a belief name its subject. */
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

/** Tells what a line is about if it changes a belief of its VM; null if not. */
export const findSubject = ({ fields, message }: LogLine): string | null =>
  SUBJECTS[message]?.(fields) ?? null;

const SHARED_SUBJECTS: ReadonlySet<string> = new Set(['configuration', 'this VM']);

/** Finds what a VM believed of all that a line of it names. */
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
