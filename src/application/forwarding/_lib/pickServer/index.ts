import {
  countPromptTokens,
  chooseReportedServer,
  countNeededTokens,
  countReadingRuns,
  hasCopyRoom,
  predictFirstEvent,
  type ReportedChoiceOptions,
  type ReportedServer,
} from '../../../../domain/forwarding';
import type { StreamRun, StreamPlacement } from '../../types';
import type { RespondingServer } from '../queryServers';
import { keepsBackups } from '../keepsBackups';

/** What a request needs of a server. */
type RequestNeeds = Pick<ReportedChoiceOptions, 'neededTokens' | 'promptTokens'>;

/** What is known of a choice. */
interface PlacementOptions {
  readonly reported: readonly ReportedServer[];
  readonly needs: RequestNeeds;
  readonly isPromptCached: boolean;
  readonly predictedMs: number;
}

const addPendingTokens = (run: StreamRun, one: RespondingServer): ReportedServer => ({
  ...one,
  unreadTokens: run.dependencies.directory.countPendingPrefillTokens(one.entry.id),
});

/** True: it has no prompt to read before a new one. */
const isIdle = ({ report, unreadTokens }: ReportedServer): boolean =>
  unreadTokens === 0 && report.waiting + countReadingRuns(report) === 0;

/** True: the run can begin without others having to end. */
const hasRoom = ({ report }: ReportedServer, { neededTokens }: RequestNeeds): boolean =>
  report.kvTotalTokens === 0 || report.kvUsedTokens + neededTokens <= report.kvTotalTokens;

/** The next attempt reads the prompt at the chosen server; another zone's gets the copy. */
const buildPlacement = (
  run: StreamRun,
  chosen: ReportedServer,
  options: PlacementOptions,
): StreamPlacement => {
  const { isPromptCached, needs, predictedMs, reported } = options;
  const isPaceKnown = run.paces.readEnginePaces(run.context.service).readingMsPerToken > 0;
  const readingMs = isPaceKnown ? predictedMs : run.context.route.latencyGoalMs;
  const others = reported.filter(
    ({ entry, report }) =>
      entry.availabilityZone !== chosen.entry.availabilityZone &&
      hasCopyRoom(report, needs.neededTokens),
  );
  const backup = chooseReportedServer(others, { ...needs, preferredZone: null });
  return {
    server: chosen.entry,
    copy: null,
    isPromptCached,
    isFree: isIdle(chosen) && hasRoom(chosen, needs),
    estimate: {
      promptTokens: needs.promptTokens,
      waiting: chosen.report.waiting,
      reading: countReadingRuns(chosen.report),
      unreadTokens: chosen.unreadTokens,
    },
    predictedMs,
    // A prompt that is held needs no reading: its silence is no work.
    expectedFirstEventMs: isPromptCached ? 0 : readingMs,
    backup: keepsBackups(run, chosen.entry) ? (backup?.entry ?? null) : null,
  };
};

/**
 * Picks the server for a prompt among those that answered, as of now: what this VM sent, or was told
 * of, while they were asked counts. Where all are busy the prediction decides, as what waits there
 * counts, not only how much runs.
 *
 * @param promptHolder - server that has the prompt in memory, which goes before all others
 */
export const pickServer = (
  run: StreamRun,
  responding: readonly RespondingServer[],
  promptHolder: RespondingServer | null,
): StreamPlacement | null => {
  const needs: RequestNeeds = {
    neededTokens: countNeededTokens(run.context.request),
    promptTokens: countPromptTokens(run.context.request),
  };
  const predict = ({ report, unreadTokens }: ReportedServer): number =>
    predictFirstEvent(report, {
      ...needs,
      unreadTokens,
      paces: run.paces.readEnginePaces(run.context.service),
      latencyGoalMs: run.context.route.latencyGoalMs,
    });
  const reported = responding.map((one) => addPendingTokens(run, one));
  const isPromptCached = promptHolder !== null;
  const { availabilityZone: preferredZone } = run.dependencies;
  const chosen = promptHolder
    ? addPendingTokens(run, promptHolder)
    : chooseReportedServer(reported, { ...needs, preferredZone });
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
