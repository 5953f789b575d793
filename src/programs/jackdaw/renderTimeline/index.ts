import type { TimelineEntry } from '../explainLog';

/** Fields that are the same in all lines of a timeline. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['requestId']);

const formatTime = (timeMs: number): string => new Date(timeMs).toISOString().slice(11, 23);

const formatAge = (ageMs: number): string => `${(ageMs / 1000).toFixed(1)} s`;

/** Renders the timeline of a request: each line, followed by the beliefs of its VM. */
export const renderTimeline = (timeline: readonly TimelineEntry[]): readonly string[] =>
  timeline.flatMap(({ beliefs, line }) => {
    const fields = Object.entries(line.fields)
      .filter(([name]) => !COMMON_FIELDS.has(name))
      .map(([name, value]) => `${name}=${String(value)}`);
    return [
      `${formatTime(line.timeMs)} ${line.vm}: ${line.message}  ${fields.join(' ')}`.trimEnd(),
      ...beliefs.map(
        ({ ageMs, belief, subject }) => `    ${subject}: ${belief}, for ${formatAge(ageMs)}`,
      ),
    ];
  });
