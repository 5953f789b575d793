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
import { keepsBackups } from '../keepsBackups';

/** What a request needs of a server. */
type ReportedNeeds = Pick<ServerByReportOptions, 'neededKvTokens' | 'promptTokens'>;

/** What is known of a choice. */
interface BuildOptions {
  readonly reported: readonly ReportedServer[];
  readonly needs: ReportedNeeds;
  readonly hasPrompt: boolean;
  readonly predictedMs: number;
}

const addUnread = (run: StreamRun, one: RespondingServer): ReportedServer => ({
  ...one,
  pendingPrefillTokens: run.dependencies.directory.countPendingPrefillTokens(one.entry.id),
});

/** True: it has no prompt to read before a new one. */
const isIdle = ({ report, pendingPrefillTokens }: ReportedServer): boolean =>
  pendingPrefillTokens === 0 && report.waiting + countPrefillingRuns(report) === 0;

/** True: the run can begin without others having to end. */
const hasRoom = ({ report }: ReportedServer, { neededKvTokens }: ReportedNeeds): boolean =>
  report.kvTotalTokens === 0 || report.kvUsedTokens + neededKvTokens <= report.kvTotalTokens;

/** The next attempt reads the prompt at the chosen server; another zone's gets the copy. */
const buildFromPrompt = (
  run: StreamRun,
  chosen: ReportedServer,
  options: BuildOptions,
): StreamPlacement => {
  const { hasPrompt, needs, predictedMs, reported } = options;
  const isPaceKnown = run.paces.readEnginePaces(run.context.service).prefillMsPerToken > 0;
  const readingMs = isPaceKnown ? predictedMs : run.context.route.latencyGoalMs;
  const others = reported.filter(
    ({ entry, report }) =>
      entry.availabilityZone !== chosen.entry.availabilityZone &&
      hasMemoryForCopy(report, needs.neededKvTokens),
  );
  const backup = chooseServerByReport(others, { ...needs, preferredZone: null });
  return {
    server: chosen.entry,
    copy: null,
    isPromptCached: hasPrompt,
    isFree: isIdle(chosen) && hasRoom(chosen, needs),
    estimate: {
      promptTokens: needs.promptTokens,
      waiting: chosen.report.waiting,
      reading: countPrefillingRuns(chosen.report),
      unreadTokens: chosen.pendingPrefillTokens,
    },
    predictedMs,
    // A prompt that is held needs no reading: its silence is no work.
    expectedFirstEventMs: hasPrompt ? 0 : readingMs,
    backup: keepsBackups(run, chosen.entry) ? (backup?.entry ?? null) : null,
  };
};

/**
 * Picks the server for a prompt among those that answered, as of now: what this VM sent, or was told
 * of, while they were asked counts. Where all are busy the prediction decides, as what waits there
 * counts, not only how much runs.
 *
 * @param holding - server that has the prompt in memory, which goes before all others
 */
export const pickServer = (
  run: StreamRun,
  answered: readonly RespondingServer[],
  holding: RespondingServer | null,
): StreamPlacement | null => {
  const needs: ReportedNeeds = {
    neededKvTokens: countNeededKvTokens(run.context.request),
    promptTokens: countPromptTokens(run.context.request),
  };
  const predict = ({ report, pendingPrefillTokens }: ReportedServer): number =>
    predictFirstEventMs(report, {
      ...needs,
      pendingPrefillTokens: pendingPrefillTokens,
      paces: run.paces.readEnginePaces(run.context.service),
      latencyGoalMs: run.context.route.latencyGoalMs,
    });
  const reported = answered.map((one) => addUnread(run, one));
  const hasPrompt = holding !== null;
  const { availabilityZone: preferredZone } = run.dependencies;
  const chosen = holding
    ? addUnread(run, holding)
    : chooseServerByReport(reported, { ...needs, preferredZone });
  if (!chosen) return null;
  const known = { server: chosen, predictedMs: predict(chosen) };
  const { predictedMs, server } =
    hasPrompt || isIdle(chosen)
      ? known
      : reported
          .map((one) => ({ server: one, predictedMs: predict(one) }))
          .reduce((first, one) => (one.predictedMs < first.predictedMs ? one : first), known);
  return buildFromPrompt(run, server, { reported, needs, hasPrompt, predictedMs });
};
