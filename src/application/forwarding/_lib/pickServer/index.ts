import {
  countPromptTokens,
  chooseServerByReport,
  countNeededKvTokens,
  countPrefillingRuns,
  hasMemoryForCopy,
  predictFirstEventMs,
  type ServerByReportOptions,
  type ReportedServer,
} from '../../../../domain/forwarding';
import type { StreamRun, StreamPlacement } from '../../types';
import type { RespondingServer } from '../queryServers';
import { buildPaceReader } from '../buildPaceReader';
import { keepsBackups } from '../keepsBackups';
import { readRunPaces } from '../readRunPaces';

/** Resources that a request needs at a server. */
type RequestNeeds = Pick<ServerByReportOptions, 'neededKvTokens' | 'promptTokens'>;

/** Inputs of a placement. */
interface PlacementOptions {
  readonly reported: readonly ReportedServer[];
  readonly needs: RequestNeeds;
  readonly isPromptCached: boolean;
  readonly predictedMs: number;
}

const addPendingTokens = (run: StreamRun, one: RespondingServer): ReportedServer => ({
  ...one,
  pendingPrefillTokens: run.dependencies.directory.countPendingPrefillTokens(one.entry.id),
});

/** True if the server has no prompt to process before a new one. */
const isIdle = ({ report, pendingPrefillTokens }: ReportedServer): boolean =>
  pendingPrefillTokens === 0 && report.waiting + countPrefillingRuns(report) === 0;

/** True if the run fits into the KV cache without evicting others. */
const hasRoom = ({ report }: ReportedServer, { neededKvTokens }: RequestNeeds): boolean =>
  report.kvTotalTokens === 0 || report.kvUsedTokens + neededKvTokens <= report.kvTotalTokens;

/** Builds the placement of an attempt. The backup is in another availability zone. */
const buildPlacement = (
  run: StreamRun,
  chosen: ReportedServer,
  options: PlacementOptions,
): StreamPlacement => {
  const { isPromptCached, needs, predictedMs, reported } = options;
  const isPaceKnown = readRunPaces(run, chosen.entry).prefillMsPerToken > 0;
  const readingMs = isPaceKnown ? predictedMs : run.context.route.latencyGoalMs;
  const others = reported.filter(
    ({ entry, report }) =>
      entry.availabilityZone !== chosen.entry.availabilityZone &&
      hasMemoryForCopy(report, needs.neededKvTokens),
  );
  const { serverPaces } = run.dependencies;
  const backup = chooseServerByReport(others, {
    ...needs,
    preferredZone: null,
    readPace: buildPaceReader(serverPaces, run.context.service, 'decodeMsPerToken'),
  });
  return {
    server: chosen.entry,
    copy: null,
    isPromptCached,
    isFree: isIdle(chosen) && hasRoom(chosen, needs),
    estimate: {
      promptTokens: needs.promptTokens,
      waiting: chosen.report.waiting,
      reading: countPrefillingRuns(chosen.report),
      unreadTokens: chosen.pendingPrefillTokens,
    },
    predictedMs,
    // A cached prompt needs no prefill, so that silence is not explained by it.
    expectedFirstEventMs: isPromptCached ? 0 : readingMs,
    backup: keepsBackups(run, chosen.entry) ? (backup?.entry ?? null) : null,
    grant: null,
  };
};

/**
 * Picks the server for a prompt among those that responded. The choice counts the prompts that this
 * VM sent, or learned of, while the servers were queried. If all servers are busy, the predicted
 * time to the first event decides, because the waiting prompts matter and not only the running
 * requests.
 *
 * @param promptHolder - server that has the prompt cached, preferred to all others
 */
export const pickServer = (
  run: StreamRun,
  responding: readonly RespondingServer[],
  promptHolder: RespondingServer | null,
): StreamPlacement | null => {
  const needs: RequestNeeds = {
    neededKvTokens: countNeededKvTokens(run.context.request),
    promptTokens: countPromptTokens(run.context.request),
  };
  const predict = ({ entry, report, pendingPrefillTokens }: ReportedServer): number =>
    predictFirstEventMs(report, {
      ...needs,
      pendingPrefillTokens,
      paces: readRunPaces(run, entry),
      latencyGoalMs: run.context.route.latencyGoalMs,
    });
  const reported = responding.map((one) => addPendingTokens(run, one));
  const isPromptCached = promptHolder !== null;
  const { availabilityZone: preferredZone, serverPaces } = run.dependencies;
  const readPace = buildPaceReader(serverPaces, run.context.service, 'prefillMsPerToken');
  const chosen = promptHolder
    ? addPendingTokens(run, promptHolder)
    : chooseServerByReport(reported, { ...needs, preferredZone, readPace });
  if (!chosen) return null;
  const initial = { server: chosen, predictedMs: predict(chosen) };
  const { predictedMs, server } =
    isPromptCached || isIdle(chosen)
      ? initial
      : reported
          .map((one) => ({ server: one, predictedMs: predict(one) }))
          .reduce((best, one) => (one.predictedMs < best.predictedMs ? one : best), initial);
  return buildPlacement(run, server, {
    reported,
    needs,
    isPromptCached,
    predictedMs,
  });
};
