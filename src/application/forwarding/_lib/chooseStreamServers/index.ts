import {
  chooseForwardServer,
  chooseReportedServer,
  countNeededTokens,
  countReadingRuns,
  hasCopyRoom,
  predictFirstEvent,
  rankServers,
  type ReportedChoiceOptions,
  type ReportedServer,
  type ServerEntry,
  type ServerStatus,
} from '../../../../domain/forwarding';
import type { EventFields } from '../../../ports';
import type { HeldCopy, StreamRun } from '../../types';
import { askServers, type AnsweringServer } from '../askServers';
import { findPromptHolder } from '../findPromptHolder';

/** Where the next attempt goes. */
export interface StreamServers {
  readonly server: ServerEntry;
  /** Copy that it goes on from; null if it reads the prompt. */
  readonly copy: HeldCopy | null;
  /** True: it has the prompt in memory, or goes on from a copy. */
  readonly hasPrompt: boolean;
  /** Server that gets a copy as the run grows; null if there is none. */
  readonly backup: ServerEntry | null;
  /** True: it has no prompt to read before this one, and room for it. */
  readonly isFree: boolean;
  /** What the prediction rests on, for the log; empty if no report was read. */
  readonly estimate: EventFields;
  /**
   * Time that the first event is expected to take: as predicted, or the goal while this VM has seen no
   * pace; 0 where nobody was asked. A VM that had just started gave long prompts up in the middle.
   */
  readonly expectedMs: number;
  /** Time to the first event as the servers' reports predict it; null if no report was read. */
  readonly predictedMs: number | null;
}

/** Servers asked before a prompt is sent: as many for the run as for its copy. */
const ASKED = 4;

/** Rounds in which servers are asked, while none of them answers or all are busy. */
const MAX_ROUNDS = 3;

/**
 * Servers asked, all at once, where the caller has part of its answer: the one that ran it before has
 * the prompt in memory, and goes on within 0.1 to 0.3 s where reading it anew takes 1 to 2 s. Runs move
 * between servers, so that it is not always among the first by rank: with four asked, 9 of 44 callers
 * that came back after their VM was lost were led to it (two days of 13 servers).
 */
const ASKED_FOR_HELD = 12;

/** A server that stopped a run itself was not at fault: it is no less fit than before. */
const findCopyServer = ({ copy, dependencies }: StreamRun): ServerEntry | null => {
  if (!copy?.hasBegun) return null;
  const { directory } = dependencies;
  const servers = copy.holders.map(directory.findServing).filter((entry) => entry !== null);
  return servers.find(({ id }) => directory.isTrusted(id)) ?? servers[0] ?? null;
};

/** What a request needs of a server. */
type ReportedNeeds = Pick<ReportedChoiceOptions, 'neededTokens' | 'promptTokens'>;

const addUnread = (run: StreamRun, one: AnsweringServer): ReportedServer => ({
  ...one,
  unreadTokens: run.dependencies.directory.countUnreadTokens(one.entry.id),
});

const keepsBackups = ({ context, dependencies }: StreamRun): boolean =>
  dependencies.tables.readCurrent()?.services.get(context.service)?.engine?.keepsBackups ?? false;

/** Builds a choice for which nobody was asked; the copy goes to another zone. */
const buildUnasked = (
  run: StreamRun,
  server: ServerEntry,
  copy: HeldCopy | null,
  excludedIds: ReadonlySet<string>,
): StreamServers => {
  const { directory, randomness } = run.dependencies;
  const backup = keepsBackups(run)
    ? chooseForwardServer(directory.listServing(run.context.service), {
        excludedIds: new Set([...excludedIds, server.id]),
        avoidedZone: server.availabilityZone,
        preferredZone: null,
        draw: randomness.readFraction(),
      })
    : null;
  const isCopied = copy !== null;
  return {
    server,
    copy,
    hasPrompt: isCopied,
    backup: backup?.entry ?? null,
    isFree: false,
    estimate: {},
    expectedMs: 0,
    predictedMs: null,
  };
};

/**
 * Chooses by what is known from before. A VM that is slow or cut off for a moment gets no answer in
 * time from anyone: refusing then would be a refusal while servers are free.
 */
const chooseUnasked = (run: StreamRun, excludedIds: ReadonlySet<string>): StreamServers | null => {
  const { availabilityZone, directory, randomness } = run.dependencies;
  const status = chooseForwardServer(directory.listServing(run.context.service), {
    excludedIds,
    avoidedZone: null,
    preferredZone: availabilityZone,
    draw: randomness.readFraction(),
  });
  return status && buildUnasked(run, status.entry, null, excludedIds);
};

/** True: it has no prompt to read before a new one. */
const isIdle = ({ report, unreadTokens }: ReportedServer): boolean =>
  unreadTokens === 0 && report.waiting + countReadingRuns(report) === 0;

/** True: the run can begin without others having to end. */
const hasRoom = ({ report }: ReportedServer, { neededTokens }: ReportedNeeds): boolean =>
  report.kvTotalTokens === 0 || report.kvUsedTokens + neededTokens <= report.kvTotalTokens;

/** The next attempt reads the prompt at the chosen server; another zone's gets the copy. */
const buildFromPrompt = (
  run: StreamRun,
  chosen: ReportedServer,
  options: {
    readonly reported: readonly ReportedServer[];
    readonly needs: ReportedNeeds;
    readonly hasPrompt: boolean;
    readonly predictedMs: number;
  },
): StreamServers => {
  const { hasPrompt, needs, predictedMs, reported } = options;
  const isPaceKnown = run.paces.readEnginePaces(run.context.service).readingMsPerToken > 0;
  const others = reported.filter(
    ({ entry, report }) =>
      entry.availabilityZone !== chosen.entry.availabilityZone &&
      hasCopyRoom(report, needs.neededTokens),
  );
  const backup = chooseReportedServer(others, { ...needs, preferredZone: null });
  return {
    server: chosen.entry,
    copy: null,
    hasPrompt,
    isFree: isIdle(chosen) && hasRoom(chosen, needs),
    estimate: {
      promptTokens: needs.promptTokens,
      waiting: chosen.report.waiting,
      reading: countReadingRuns(chosen.report),
      unreadTokens: chosen.unreadTokens,
    },
    predictedMs,
    expectedMs: isPaceKnown ? predictedMs : run.context.route.latencyGoalMs,
    backup: keepsBackups(run) ? (backup?.entry ?? null) : null,
  };
};

/** Servers that the prompt belongs to, whichever VM looks. */
const listCandidates = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
  count: number,
): readonly ServerStatus[] => {
  const { request, service } = run.context;
  const allowed = run.dependencies.directory
    .listServing(service)
    .filter(({ entry }) => !excludedIds.has(entry.id));
  return rankServers(allowed, request.promptParts.at(-1)?.id ?? request.requestId, count);
};

/**
 * Chooses the server of the next attempt, and the one that gets its copy: in another availability
 * zone, as servers of one zone are lost together.
 *
 * A server that holds a copy goes before all others: reading a long prompt anew takes longer than
 * a reader is ready to wait for the next event.
 */
export const chooseStreamServers = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<StreamServers | null> => {
  const { availabilityZone: preferredZone } = run.dependencies;
  const copyServer = findCopyServer(run);
  if (copyServer) return buildUnasked(run, copyServer, run.copy, excludedIds);
  const { tokens } = run.context.request;
  const needs: ReportedNeeds = {
    neededTokens: countNeededTokens(run.context.request),
    promptTokens: tokens?.prompt ?? 0,
  };
  const asked = new Set<string>();
  const answered: AnsweringServer[] = [];
  let reported: readonly ReportedServer[] = [];
  let chosen: ReportedServer | null = null;
  let isFree = false;
  let hasPrompt = false;
  const hasEvents = run.readState().offset > 0;
  const rounds = hasEvents ? 1 : MAX_ROUNDS;
  const count = hasEvents ? ASKED_FOR_HELD : ASKED;
  for (let round = 0; round < rounds && !isFree; round += 1) {
    const candidates = listCandidates(run, new Set([...excludedIds, ...asked]), count);
    candidates.forEach(({ entry }) => asked.add(entry.id));
    const answers = await askServers(run, candidates);
    // Those that answered are asked what they hold: one that fell silent would hold this up.
    const holding = hasEvents ? await findPromptHolder(run, answers) : null;
    answered.push(...answers);
    // As of now: while servers were asked, this VM may have sent other prompts to them.
    reported = answered.map((one) => addUnread(run, one));
    chosen = holding
      ? addUnread(run, holding)
      : chooseReportedServer(reported, { ...needs, preferredZone });
    hasPrompt = holding !== null;
    isFree = chosen !== null && (hasPrompt || isIdle(chosen));
  }
  if (!chosen) return chooseUnasked(run, excludedIds);
  // Where all are busy, by the prediction: what waits there counts, not only how much runs.
  const predict = ({ report, unreadTokens }: ReportedServer): number =>
    predictFirstEvent(report, {
      ...needs,
      unreadTokens,
      paces: run.paces.readEnginePaces(run.context.service),
      latencyGoalMs: run.context.route.latencyGoalMs,
    });
  const known = { server: chosen, predictedMs: predict(chosen) };
  const best = isFree
    ? known
    : reported
        .map((server) => ({ server, predictedMs: predict(server) }))
        .reduce((first, one) => (one.predictedMs < first.predictedMs ? one : first), known);
  const { predictedMs, server } = best;
  return buildFromPrompt(run, server, { reported, needs, hasPrompt, predictedMs });
};
