import { createReadStream } from 'node:fs';
import { basename } from 'node:path';
import { createInterface } from 'node:readline';
import { err, ok, type Result } from 'neverthrow';
import { findBeliefs, findSubject, type Belief } from './_lib/findBeliefs';
import { parseLogLine, type LogLine } from './_lib/parseLogLine';

/** A line about a request, and what its VM believed at that moment. */
export interface TimelineEntry {
  readonly line: LogLine;
  readonly beliefs: readonly Belief[];
}

/** Reads the lines that tell of the request, or change a belief. */
const readLines = async (
  file: string,
  requestId: string,
): Promise<Result<readonly LogLine[], string>> => {
  const kept: LogLine[] = [];
  try {
    for await (const text of createInterface({ input: createReadStream(file) })) {
      const line = parseLogLine(text, basename(file));
      const isKept = line && (line.fields.requestId === requestId || findSubject(line) !== null);
      if (line && isKept) kept.push(line);
    }
    return ok(kept);
  } catch (error) {
    return err(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
  }
};

/**
 * Explains a request from the logs of all VMs: its lines in the order of their times, each with
 * what its VM believed then of the servers, the configuration and the store.
 *
 * @param files - logs; one file may hold the lines of several VMs
 * @returns empty if no line tells of the request; an error names a file that cannot be read
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
    .map((line, order) => ({ line, order }))
    .sort((left, right) => left.line.timeMs - right.line.timeMs || left.order - right.order);
  const beliefsByVm = new Map<string, Map<string, LogLine>>();
  const story: TimelineEntry[] = [];
  sorted.forEach(({ line }) => {
    const beliefs = beliefsByVm.get(line.vm) ?? new Map<string, LogLine>();
    beliefsByVm.set(line.vm, beliefs);
    const subject = findSubject(line);
    if (line.fields.requestId === requestId) {
      story.push({ line, beliefs: findBeliefs(line, beliefs) });
    }
    if (subject !== null) beliefs.set(subject, line);
  });
  return ok(story);
};
