import {
  countPromptTokens,
  chooseServerByLoad,
  rankServersByPrompt,
  type ServerEntry,
  type ServerStatus,
} from '../../../../domain/forwarding';
import type { HeldCopy, StreamRun, StreamPlacement } from '../../types';
import { buildPaceReader } from '../buildPaceReader';
import { queryServers, type RespondingServer } from '../queryServers';
import { findCopyHolder } from '../findCopyHolder';
import { findPromptHolder } from '../findPromptHolder';
import { keepsBackups } from '../keepsBackups';
import { pickServer } from '../pickServer';

/** Servers queried before a prompt is sent: half of them for the run, half for its copy. */
const QUERIED_SERVERS = 4;

/** Rounds of queries while no server responds or all are busy. */
const MAX_QUERY_ROUNDS = 3;

/**
 * Servers queried at once if the caller has part of the response. The server that ran the stream
 * before has the prompt cached and continues within 0.1 to 0.3 s, while processing the prompt again
 * takes 1 to 2 s. Runs move between servers, so this server is not always among the first by rank:
 * with four queries, only 9 of 44 callers that came back after the loss of their VM reached it (two
 * days with 13 servers).
 */
const QUERIED_SERVERS_ON_RESUME = 12;

/** Maximum number of reservations for one prompt, one after the other. */
const MAX_RESERVATION_ATTEMPTS = 3;

/** Builds a placement without querying servers. The backup is in another availability zone. */
const buildUnqueriedPlacement = (
  run: StreamRun,
  server: ServerEntry,
  copy: HeldCopy | null,
  excludedIds: ReadonlySet<string>,
): StreamPlacement => {
  const { randomness, serverPaces } = run.dependencies;
  const backup = keepsBackups(run, server)
    ? chooseServerByLoad(run.context.servers.listHolders(server), {
        readPace: buildPaceReader(serverPaces, run.context.service, 'decodeMsPerToken'),
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
    grant: null,
  };
};

/**
 * Chooses by previously known state. A VM that is slow or cut off for a moment gets no response in
 * time from any server: refusing then would refuse requests while servers are free.
 */
const chooseWithoutReports = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): StreamPlacement | null => {
  const { availabilityZone, randomness, serverPaces } = run.dependencies;
  const status = chooseServerByLoad(run.context.servers.list(), {
    readPace: buildPaceReader(serverPaces, run.context.service, 'prefillMsPerToken'),
    excludedIds,
    avoidedZone: null,
    preferredZone: availabilityZone,
    draw: randomness.readFraction(),
  });
  return status && buildUnqueriedPlacement(run, status.entry, null, excludedIds);
};

/**
 * Reserves the server for the prompt, in fleets that use reservations; picks again if another VM
 * reserved the server first.
 */
const reservePlacement = async (
  run: StreamRun,
  responding: readonly RespondingServer[],
  first: StreamPlacement,
): Promise<StreamPlacement> => {
  const { directory, reservePrompt } = run.dependencies;
  const promptTokens = countPromptTokens(run.context.request);
  let picked = first;
  for (let attempt = 0; attempt < MAX_RESERVATION_ATTEMPTS; attempt += 1) {
    const othersTokens = await reservePrompt(picked.server.id, promptTokens);
    if (othersTokens === 0) return picked;
    directory.recordPeerPrompt(picked.server.id, othersTokens);
    const next = pickServer(run, responding, null) ?? picked;
    if (next.server.id === picked.server.id) return next;
    picked = next;
  }
  return picked;
};

/**
 * Ranks the candidates by rendezvous hashing on the prompt, so that every VM queries the same ones.
 */
const listCandidates = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
  count: number,
): readonly ServerStatus[] => {
  const { request, servers, service } = run.context;
  const allowed = servers.list().filter(({ entry }) => !excludedIds.has(entry.id));
  const key = request.promptParts.at(-1)?.id ?? request.requestId;
  // VMs know different work factors, and a factor changes too often to rank by it.
  const readPace = buildPaceReader(run.dependencies.serverPaces, service, 'prefillMsPerToken');
  const readSpeed = readPace && ((server: ServerEntry) => 1 / readPace(server).ratio);
  return rankServersByPrompt(allowed, key, count, readSpeed);
};

/**
 * Chooses the server of the next attempt and its backup, which is in another availability zone
 * because the servers of one zone fail together.
 *
 * A server that holds a copy is preferred to all others: processing a long prompt again takes
 * longer than a reader is willing to wait for the next event.
 */
export const chooseStreamPlacement = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<StreamPlacement | null> => {
  const copyHolder = findCopyHolder(run);
  if (copyHolder) return buildUnqueriedPlacement(run, copyHolder, run.copy, excludedIds);
  const queriedIds = new Set<string>();
  const responding: RespondingServer[] = [];
  let picked: StreamPlacement | null = null;
  const hasEvents = run.readState().offset > 0;
  const rounds = hasEvents ? 1 : MAX_QUERY_ROUNDS;
  const count = hasEvents ? QUERIED_SERVERS_ON_RESUME : QUERIED_SERVERS;
  for (let round = 0; round < rounds && !picked?.isFree; round += 1) {
    const candidates = listCandidates(run, new Set([...excludedIds, ...queriedIds]), count);
    candidates.forEach(({ entry }) => queriedIds.add(entry.id));
    const newlyResponding = await queryServers(run, candidates);
    responding.push(...newlyResponding);
    // Only servers that responded are asked for cached prompts: a silent server would delay the
    // choice.
    const promptHolder = hasEvents ? await findPromptHolder(run, newlyResponding) : null;
    picked = pickServer(run, responding, promptHolder);
  }
  if (!picked) return chooseWithoutReports(run, excludedIds);
  return picked.isPromptCached ? picked : reservePlacement(run, responding, picked);
};
