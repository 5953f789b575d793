import { z } from 'zod';
import { parseJson } from '../../../../../domain/json';

/** One line of a VM's log. */
export interface LogLine {
  /** Wall-clock time of the VM, in Unix milliseconds. */
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

/** Fields that describe the process and are the same in all of its lines. */
const PROCESS_FIELDS: ReadonlySet<string> = new Set(['logLevel', 'program', 'vm']);

/**
 * Parses one line of a log, to which a log collector may have added a prefix.
 *
 * @param source - name of the file, which stands for the VM in lines that name none
 * @returns null for a line that is not an event of this system
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
