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

/** A line with its place in the files, which orders lines of the same time. */
interface PlacedLine {
  readonly line: LogLine;
  readonly fileIndex: number;
  readonly lineNumber: number;
}

type LineFilter = (line: LogLine) => boolean;

const readFileLines = async (
  file: string,
  fileIndex: number,
  isWanted: LineFilter,
): Promise<readonly PlacedLine[]> => {
  const lines: PlacedLine[] = [];
  let lineNumber = 0;
  for await (const text of createInterface({ input: createReadStream(file) })) {
    lineNumber += 1;
    const line = parseLogLine(text, basename(file));
    if (line && isWanted(line)) lines.push({ line, fileIndex, lineNumber });
  }
  return lines;
};

/** Reads the wanted lines of all files. */
const readLines = async (
  files: readonly string[],
  isWanted: LineFilter,
): Promise<Result<readonly PlacedLine[], string>> => {
  const lines: PlacedLine[] = [];
  for (const [fileIndex, file] of files.entries()) {
    try {
      lines.push(...(await readFileLines(file, fileIndex, isWanted)));
    } catch (error) {
      return err(`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`);
    }
  }
  return ok(lines);
};

/** Tickets under which schedulers know the request. */
const findTickets = (lines: readonly PlacedLine[], requestId: string): ReadonlySet<unknown> =>
  new Set(
    lines
      .filter(({ line }) => line.fields.requestId === requestId)
      .map(({ line }) => line.fields.ticket)
      .filter((ticket) => typeof ticket === 'string' && ticket !== ''),
  );

const compareLines = (left: PlacedLine, right: PlacedLine): number =>
  left.line.timeMs - right.line.timeMs ||
  left.fileIndex - right.fileIndex ||
  left.lineNumber - right.lineNumber;

/**
 * Builds the timeline of a request from the logs of all VMs: its lines sorted by time, each with
 * the beliefs of its VM about the servers, the configuration and the store at that time. Lines of
 * schedulers name no request: they belong to it if they carry a ticket that its own lines name.
 *
 * @param files - log files, each with the lines of one or more VMs
 * @returns the timeline, empty if no line is about the request, or the file that cannot be read
 */
export const explainLog = async (
  requestId: string,
  files: readonly string[],
): Promise<Result<readonly TimelineEntry[], string>> => {
  const isOfRequest: LineFilter = ({ fields }) => fields.requestId === requestId;
  const read = await readLines(files, (line) => isOfRequest(line) || findSubject(line) !== null);
  if (read.isErr()) return err(read.error);
  const tickets = findTickets(read.value, requestId);
  const isOfScheduler: LineFilter = ({ fields }) =>
    fields.requestId === undefined && tickets.has(fields.ticket);
  // The tickets are known only after all files are read: a scheduler's file may come first.
  const scheduling = tickets.size === 0 ? ok([]) : await readLines(files, isOfScheduler);
  if (scheduling.isErr()) return err(scheduling.error);
  const sorted = [...read.value, ...scheduling.value].sort(compareLines);
  const beliefsByVm = new Map<string, Map<string, LogLine>>();
  const timeline: TimelineEntry[] = [];
  sorted.forEach(({ line }) => {
    const beliefs = beliefsByVm.get(line.vm) ?? new Map<string, LogLine>();
    beliefsByVm.set(line.vm, beliefs);
    const subject = findSubject(line);
    if (isOfRequest(line) || isOfScheduler(line)) {
      timeline.push({ line, beliefs: findBeliefs(line, beliefs) });
    }
    if (subject !== null) beliefs.set(subject, line);
  });
  return ok(timeline);
};
