import {
  compareIncarnations,
  countPrefillingRuns,
  formatIncarnation,
  type ServerEntry,
  type ServerReport,
  type ServerStatus,
} from '../../../../../domain/forwarding';
import type { ServerPace } from '../../../../../domain/paces';
import { computeRunMs, type ScheduledServer } from '../../../../../domain/scheduling';
import type { ServerPaces } from '../../../../paces';
import type { Clock } from '../../../../ports';
import type { SchedulingDirectory } from '../../../types';

/** What the views need. */
export interface ServerViewsDependencies {
  readonly service: string;
  readonly clock: Clock;
  readonly directory: SchedulingDirectory;
  readonly paces: ServerPaces;
}

/** Changes to the work of a server that its report does not include yet. */
interface Change {
  readonly atMs: number;
  readonly ticket: string | null;
  /** Difference in the number of runs. */
  readonly runs: number;
  /** Difference in the KV memory in use, in tokens. */
  readonly kvTokens: number;
  /** Prefill that the change adds, in milliseconds. */
  readonly prefillMs: number;
}

interface View {
  readonly status: ServerStatus;
  readonly bornMs: number | null;
  readonly report: ServerReport | null;
  /** Monotonic time at which the report was made; -Infinity without a report. */
  readonly madeAtMs: number;
  readonly changes: readonly Change[];
}

/** The state of a server as it follows from its view, which is immutable. */
interface Projection {
  readonly projectedAtMs: number;
  readonly pace: ServerPace;
  readonly prefilledAtMs: number;
  readonly runs: number;
  readonly kvUsedTokens: number;
  readonly kvTotalTokens: number;
}

/** A typical stream: reports state no prompt lengths. */
export interface PromptTimes {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly goalMs: number;
}

/** The servers of a service as the scheduler sees them. */
export interface ServerViews {
  /** Reads which servers there are. */
  refresh(): readonly ServerEntry[];
  list(typical: PromptTimes): ScheduledServer[];
  buildServer(id: string, typical: PromptTimes): ScheduledServer | null;
  /** True if a server has a report that is new enough to decide by. */
  hasReports(): boolean;
  /** Age of a server's report in milliseconds; -1 without a report. */
  readReportAgeMs(id: string): number;
  recordReport(entry: ServerEntry, report: ServerReport): void;
  recordChange(id: string, change: Omit<Change, 'atMs'>): void;
  /** Removes what was granted to a ticket. */
  removeGrant(ticket: string): void;
  findIncarnation(id: string): string | null;
}

/** Age of a report when it arrives: servers state what was true a while before. */
const REPORT_LAG_MS = 200;

/** Age beyond which a report does not show what others did at the server. */
const MAX_REPORT_AGE_MS = 1700;

/** Changes are forgotten after this time if no report arrives: most runs have ended by then. */
const MAX_CHANGE_AGE_MS = 30_000;

/** Fraction of the current prefill that is finished, on average. */
const FINISHED_FRACTION = 0.5;

/** Projections are kept for this long: paces change faster than reports arrive. */
const MAX_PROJECTION_AGE_MS = 100;

/** Creates the scheduler's views of the servers of a service. */
export const createServerViews = ({
  clock,
  directory,
  paces,
  service,
}: ServerViewsDependencies): ServerViews => {
  const views = new Map<string, View>();
  const projections = new WeakMap<View, Projection>();

  const isFresh = ({ madeAtMs }: View): boolean =>
    clock.readMonotonicMs() - madeAtMs <= MAX_REPORT_AGE_MS;
  const hasReports = (): boolean => [...views.values()].some(isFresh);

  const buildRestarted = (view: View, status: ServerStatus): View => ({
    status,
    bornMs: status.entry.bornMs,
    report: view.report && {
      ...view.report,
      running: 0,
      waiting: 0,
      kvUsedTokens: 0,
      eventsByRun: new Map(),
    },
    madeAtMs: view.report ? clock.readMonotonicMs() : -Infinity,
    changes: [],
  });

  const updateStatus = (status: ServerStatus): void => {
    const { bornMs, id } = status.entry;
    const view = views.get(id);
    if (!view) {
      views.set(id, { status, bornMs, report: null, madeAtMs: -Infinity, changes: [] });
    } else if (compareIncarnations(view.bornMs, bornMs) === 'newer') {
      views.set(id, buildRestarted(view, status));
    } else if (view.status !== status) {
      const projection = projections.get(view);
      const updated = { ...view, status, bornMs: view.bornMs ?? bornMs };
      views.set(id, updated);
      if (projection) projections.set(updated, projection);
    }
  };

  const findIncarnation = (id: string): string | null => {
    const view = views.get(id);
    return view ? formatIncarnation({ id, bornMs: view.bornMs }) : null;
  };

  const project = (view: View, typical: PromptTimes): Projection => {
    const nowMs = clock.readMonotonicMs();
    const { id } = view.status.entry;
    const incarnation = formatIncarnation({ id, bornMs: view.bornMs });
    const pace = paces.readPace({ service, incarnation });
    const report = isFresh(view) ? view.report : null;
    const { prefillMs } = computeRunMs(pace, { ...typical, runs: 1 });
    const promptsAhead = report
      ? report.waiting + Math.max(0, countPrefillingRuns(report) - FINISHED_FRACTION)
      : view.status.pendingPrefillTokens / Math.max(1, typical.promptTokens);
    let prefilledAtMs = (report ? view.madeAtMs : nowMs) + promptsAhead * prefillMs;
    let runs = report
      ? report.running + report.waiting
      : Math.max(view.status.running, view.status.reported);
    let kvUsedTokens = report?.kvUsedTokens ?? 0;
    view.changes.forEach((change) => {
      runs += change.runs;
      kvUsedTokens += change.kvTokens;
      if (change.prefillMs > 0)
        prefilledAtMs = Math.max(prefilledAtMs, change.atMs) + change.prefillMs;
    });
    return {
      projectedAtMs: nowMs,
      pace,
      prefilledAtMs,
      runs: Math.max(0, runs),
      kvUsedTokens: Math.max(0, kvUsedTokens),
      kvTotalTokens: report?.kvTotalTokens ?? 0,
    };
  };

  const findProjection = (view: View, typical: PromptTimes): Projection => {
    const known = projections.get(view);
    if (known && clock.readMonotonicMs() - known.projectedAtMs < MAX_PROJECTION_AGE_MS)
      return known;
    const projection = project(view, typical);
    projections.set(view, projection);
    return projection;
  };

  const build = (view: View, typical: PromptTimes, isReportNeeded: boolean): ScheduledServer => {
    const { availabilityZone, id, slots, version } = view.status.entry;
    const { kvTotalTokens, kvUsedTokens, pace, prefilledAtMs, runs } = findProjection(
      view,
      typical,
    );
    return {
      id,
      availabilityZone,
      version,
      slots,
      isUsable:
        (!isReportNeeded || isFresh(view)) &&
        directory.isHealthy(id) &&
        !directory.isRateLimited(id),
      runs,
      kvUsedTokens,
      kvTotalTokens,
      pendingPrefillMs: Math.max(0, prefilledAtMs - clock.readMonotonicMs()),
      pace,
    };
  };

  return {
    refresh: () => {
      const statuses = directory.listServing(service);
      const ids = new Set(statuses.map(({ entry }) => entry.id));
      [...views.keys()].filter((id) => !ids.has(id)).forEach((id) => views.delete(id));
      statuses.forEach(updateStatus);
      return statuses.map(({ entry }) => entry);
    },
    list: (typical) => {
      const isReportNeeded = hasReports();
      return [...views.values()].map((view) => build(view, typical, isReportNeeded));
    },
    buildServer: (id, typical) => {
      const view = views.get(id);
      return view ? build(view, typical, hasReports()) : null;
    },
    hasReports,
    readReportAgeMs: (id) => {
      const view = views.get(id);
      return view?.report ? Math.round(clock.readMonotonicMs() - view.madeAtMs) : -1;
    },
    recordReport: ({ id }, report) => {
      const view = views.get(id);
      if (!view) return;
      const order = compareIncarnations(view.bornMs, report.bornMs);
      if (order === 'older') return;
      const madeAtMs = clock.readMonotonicMs() - REPORT_LAG_MS;
      const changes = order === 'newer' ? [] : view.changes.filter(({ atMs }) => atMs > madeAtMs);
      views.set(id, { ...view, bornMs: report.bornMs ?? view.bornMs, report, madeAtMs, changes });
    },
    recordChange: (id, change) => {
      const view = views.get(id);
      if (!view) return;
      const atMs = clock.readMonotonicMs();
      const changes = view.changes.filter((one) => one.atMs > atMs - MAX_CHANGE_AGE_MS);
      views.set(id, { ...view, changes: [...changes, { ...change, atMs }] });
    },
    removeGrant: (ticket) => {
      views.forEach((view, id) => {
        if (!view.changes.some((change) => change.ticket === ticket)) return;
        const changes = view.changes.filter((change) => change.ticket !== ticket);
        views.set(id, { ...view, changes });
      });
    },
    findIncarnation,
  };
};
