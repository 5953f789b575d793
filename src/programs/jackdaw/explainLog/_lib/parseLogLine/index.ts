import { z } from 'zod';
import { parseJson } from '../../../../../domain/json';

/** One line of a VM's log. */
export interface LogLine {
  /** Wall time at the VM, in milliseconds since the epoch. */
  readonly timeMs: number;
  readonly vm: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const LineSchema = z.object({
  context: z.looseObject({ vm: z.string().optional() }),
  message: z.string(),
  time: z.number(),
});

/** Fields of the process that wrote a line: the same in each. */
const PROCESS_FIELDS: ReadonlySet<string> = new Set(['logLevel', 'program', 'vm']);

/**
 * Parses one line of a log; collectors may put their own words before it.
 *
 * @param source - name of the file, for lines that name no VM
 * @returns null for a line that is none of ours
 */
export const parseLogLine = (text: string, source: string): LogLine | null => {
  const start = text.indexOf('{"context"');
  if (start < 0) return null;
  const read = LineSchema.safeParse(parseJson(text.slice(start)));
  if (!read.success) return null;
  const { context, message, time } = read.data;
  const fields = Object.entries(context).filter(([name]) => !PROCESS_FIELDS.has(name));
  return { timeMs: time, vm: context.vm ?? source, message, fields: Object.fromEntries(fields) };
};
