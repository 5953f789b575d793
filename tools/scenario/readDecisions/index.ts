import type { Child, Decision } from '../types';

interface LogLine {
  readonly context?: { readonly decision?: Readonly<Record<string, unknown>> };
}

const parseLine = (line: string): LogLine => {
  if (!line.startsWith('{')) return {};
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return {};
  }
};

/** Reads the decisions from a process's log lines, oldest first. */
export function readDecisions(child: Child): readonly Decision[] {
  return child.lines.flatMap((line) => {
    const { kind, requestId, choice } = parseLine(line).context?.decision ?? {};
    if (typeof kind !== 'string' || typeof requestId !== 'string') return [];
    return [{ process: child.name, kind, requestId, choice: String(choice ?? '') }];
  });
}
