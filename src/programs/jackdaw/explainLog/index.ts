import { createReadStream } from 'node:fs';
import { basename } from 'node:path';
import { createInterface } from 'node:readline';
import { err, ok, type Result } from 'neverthrow';
import { findBeliefs, findSubject, type Belief } from './_lib/findBeliefs';
import { parseLogLine, type LogLine } from './_lib/parseLogLine';

/** A log line about a request, with the beliefs of its VM at that time. */
export interface TimelineEntry {
  readonly line: LogLine;
  readonly beliefs: readonly Belief[];
}

/** Reads the lines about the request and those that change a belief. */
const readLines = async (
  file: string,
  requestId: string,
): Promise<Result<readonly LogLine[], string>> => {
  const lines: LogLine[] = [];
  try {
    for await (const text of createInterface({ input: createReadStream(file) })) {
      const line = parseLogLine(text, basename(file));
      const isRelevant =
        line && (line.fields.requestId === requestId || findSubject(line) !== null);
      if (line && isRelevant) lines.push(line);
    }
    return ok(lines);
  } catch (error) {
    return err(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
  }
};

/**
 * Builds the timeline of a request from the logs of all VMs: its lines sorted by time, each with
 * the beliefs of its VM about the servers, the configuration and the store at that time.
 *
 * @param files - log files, each with the lines of one or more VMs
 * @returns the timeline, empty if no line is about the request, or the file that cannot be read
 */
export const explainLog = async (
  requestId: string,
  files: readonly string[],
): Promise<Result<readonly TimelineEntry[], string>> => {
  const lines: LogLine[] = [];
  for (const file of files) {
    const read = await readLines(file, requestId);
    if (read.isErr()) return err(read.error);
    lines.push(...read.value);
  }
  const sorted = lines
    .map((line, index) => ({ line, index }))
    .sort((left, right) => left.line.timeMs - right.line.timeMs || left.index - right.index);
  const beliefsByVm = new Map<string, Map<string, LogLine>>();
  const timeline: TimelineEntry[] = [];
  sorted.forEach(({ line }) => {
    const beliefs = beliefsByVm.get(line.vm) ?? new Map<string, LogLine>();
    beliefsByVm.set(line.vm, beliefs);
    const subject = findSubject(line);
    if (line.fields.requestId === requestId) {
      timeline.push({ line, beliefs: findBeliefs(line, beliefs) });
    }
    if (subject !== null) beliefs.set(subject, line);
  });
  return ok(timeline);
};
