import {
  countPromptTokens,
  chooseLeastLoadedServer,
  rankServersByPrompt,
  type ServerEntry,
  type ServerStatus,
} from '../../../../domain/forwarding';
import type { HeldCopy, StreamRun, StreamPlacement } from '../../types';
import { queryServers, type RespondingServer } from '../queryServers';
import { findPromptHolder } from '../findPromptHolder';
import { keepsBackups } from '../keepsBackups';
import { pickServer } from '../pickServer';

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

/** Places that are taken for a prompt, one after the other, at the most. */
const MAX_RESERVED = 3;

/** A server that stopped a run itself was not at fault: it is no less fit than before. */
const findCopyServer = ({ context, copy, dependencies }: StreamRun): ServerEntry | null => {
  if (!copy?.hasData) return null;
  const { directory } = dependencies;
  const servers = copy.holders
    .map(directory.findServing)
    .filter((entry) => entry !== null)
    .filter(context.servers.isAllowed)
    .filter(({ id }) => !directory.isRateLimited(id));
  return servers.find(({ id }) => directory.isHealthy(id)) ?? servers[0] ?? null;
};

/** Builds a choice for which nobody was asked; the copy goes to another zone. */
const buildUnasked = (
  run: StreamRun,
  server: ServerEntry,
  copy: HeldCopy | null,
  excludedIds: ReadonlySet<string>,
): StreamPlacement => {
  const { randomness } = run.dependencies;
  const backup = keepsBackups(run, server)
    ? chooseLeastLoadedServer(run.context.servers.listHolders(server), {
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
    isPromptCached: isCopied,
    backup: backup?.entry ?? null,
    isFree: false,
    estimate: {},
    expectedFirstEventMs: 0,
    predictedMs: null,
  };
};

/**
 * Chooses by what is known from before. A VM that is slow or cut off for a moment gets no answer in
 * time from anyone: refusing then would be a refusal while servers are free.
 */
const chooseUnasked = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): StreamPlacement | null => {
  const { availabilityZone, randomness } = run.dependencies;
  const status = chooseLeastLoadedServer(run.context.servers.list(), {
    excludedIds,
    avoidedZone: null,
    preferredZone: availabilityZone,
    draw: randomness.readFraction(),
  });
  return status && buildUnasked(run, status.entry, null, excludedIds);
};

/** Takes a place for the prompt where VMs agree on places; picks anew where others were sooner. */
const reserveServer = async (
  run: StreamRun,
  answered: readonly RespondingServer[],
  first: StreamPlacement,
): Promise<StreamPlacement> => {
  const { directory, reservePrompt } = run.dependencies;
  const promptTokens = countPromptTokens(run.context.request);
  let picked = first;
  for (let tries = 0; tries < MAX_RESERVED; tries += 1) {
    const othersTokens = await reservePrompt(picked.server.id, promptTokens);
    if (othersTokens === 0) return picked;
    directory.recordPeerPrompt(picked.server.id, othersTokens);
    const next = pickServer(run, answered, null) ?? picked;
    if (next.server.id === picked.server.id) return next;
    picked = next;
  }
  return picked;
};

/** Servers that the prompt belongs to, whichever VM looks. */
const listCandidates = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
  count: number,
): readonly ServerStatus[] => {
  const { request, servers } = run.context;
  const allowed = servers.list().filter(({ entry }) => !excludedIds.has(entry.id));
  return rankServersByPrompt(allowed, request.promptParts.at(-1)?.id ?? request.requestId, count);
};

/**
 * Chooses the server of the next attempt, and the one that gets its copy: in another availability
 * zone, as servers of one zone are lost together.
 *
 * A server that holds a copy goes before all others: reading a long prompt anew takes longer than
 * a reader is ready to wait for the next event.
 */
export const chooseStreamPlacement = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<StreamPlacement | null> => {
  const copyServer = findCopyServer(run);
  if (copyServer) return buildUnasked(run, copyServer, run.copy, excludedIds);
  const asked = new Set<string>();
  const answered: RespondingServer[] = [];
  let picked: StreamPlacement | null = null;
  const hasEvents = run.readState().offset > 0;
  const rounds = hasEvents ? 1 : MAX_ROUNDS;
  const count = hasEvents ? ASKED_FOR_HELD : ASKED;
  for (let round = 0; round < rounds && !picked?.isFree; round += 1) {
    const candidates = listCandidates(run, new Set([...excludedIds, ...asked]), count);
    candidates.forEach(({ entry }) => asked.add(entry.id));
    const answers = await queryServers(run, candidates);
    answered.push(...answers);
    // Those that answered are asked what they hold: one that fell silent would hold this up.
    const holding = hasEvents ? await findPromptHolder(run, answers) : null;
    picked = pickServer(run, answered, holding);
  }
  if (!picked) return chooseUnasked(run, excludedIds);
  return picked.isPromptCached ? picked : reserveServer(run, answered, picked);
};
