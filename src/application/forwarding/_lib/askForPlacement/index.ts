import { countPromptTokens, type ServerEntry } from '../../../../domain/forwarding';
import type { SchedulingOutcome, StreamDemandOptions } from '../../../scheduling';
import type { Refusal, StreamPlacement, StreamRun } from '../../types';
import { keepsBackups } from '../keepsBackups';
import { logDecision } from '../logDecision';
import { readRequestClass } from '../readRequestClass';

/** What the scheduler's decision means for an attempt. */
export type SchedulerPlacement =
  | { readonly kind: 'placed'; readonly placement: StreamPlacement }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The attempt is no longer needed. */
  | { readonly kind: 'cancelled' }
  /** The VM places the attempt by itself. */
  | { readonly kind: 'unscheduled' };

/** Options of `askForPlacement`. */
export interface AskForPlacementOptions {
  readonly excludedIds: ReadonlySet<string>;
  /** False once the stream needs no placement any more. */
  readonly isStillNeeded: () => boolean;
}

type Grant = Extract<SchedulingOutcome, { kind: 'send' }>;

/** Maximum number of grants for one attempt whose server is not usable from this VM. */
const MAX_GRANTS = 3;

/** Lists the versions that a rollout allows; empty if all are; null if the VM has to decide. */
const listAllowedVersions = ({ context, dependencies }: StreamRun): readonly string[] | null => {
  const listed = context.servers.list().map(({ entry }) => entry);
  if (listed.length === 0 || listed.some(context.servers.isTrial)) return null;
  const allowed = new Set(listed.map(({ version }) => version));
  const all = dependencies.directory.listServing(context.service);
  return all.every(({ entry }) => allowed.has(entry.version)) ? [] : [...allowed];
};

const findUsable = ({ context, dependencies }: StreamRun, id: string): ServerEntry | null => {
  const { directory } = dependencies;
  const server = directory.findServing(id);
  if (!server || !directory.isHealthy(id) || directory.isRateLimited(id)) return null;
  return context.servers.isAllowed(server) ? server : null;
};

const buildPlacement = (run: StreamRun, server: ServerEntry, grant: Grant): StreamPlacement => {
  const { directory } = run.dependencies;
  const { backup, isFree, predictedMs } = grant;
  return {
    server,
    copy: null,
    isPromptCached: false,
    backup: backup !== null && keepsBackups(run, server) ? directory.findServing(backup) : null,
    isFree,
    estimate: { scheduled: true, ticket: grant.ticket, waitedMs: Math.round(grant.waitedMs) },
    expectedFirstEventMs: predictedMs > 0 ? predictedMs : run.context.route.latencyGoalMs,
    predictedMs,
    grant,
  };
};

/**
 * Asks the scheduler of the service for the server of an attempt that prefills the prompt, and
 * waits for its decision. No server is queried.
 */
export const askForPlacement = async (
  run: StreamRun,
  { excludedIds, isStillNeeded }: AskForPlacementOptions,
): Promise<SchedulerPlacement> => {
  const { context, dependencies } = run;
  const { request, route, service } = context;
  const refusedIds = new Set(excludedIds);
  const controller = new AbortController();
  let refusal: Refusal | null = null;
  let requestClass = { priority: context.priority, routePriority: route.priority };

  const readDemand = (): StreamDemandOptions => {
    const current = readRequestClass(dependencies, context);
    if (!('kind' in current)) requestClass = current;
    // A stream that reached a server continues, whatever the configuration says now.
    else if (run.arrivals.countSent() === 0) refusal = current;
    if (refusal || !isStillNeeded()) controller.abort();
    const listed = context.servers.list();
    const suspectedIds = listed.filter((one) => one.isSuspected).map(({ entry }) => entry.id);
    return {
      requestId: request.requestId,
      heldBytes: request.body.length,
      requestClass,
      workspace: context.holder?.workspace ?? '',
      promptTokens: countPromptTokens(request),
      outputTokens: request.tokens?.maxOutput ?? 0,
      goalAtMs: context.firstArrivedAtMs + route.latencyGoalMs,
      deadlineAtMs: context.deadlineAtMs,
      isReturning: context.isReturning,
      isResumed: run.readState().mayHaveStarted,
      needsBackup: listed.some(({ entry }) => keepsBackups(run, entry)),
      excludedServers: [...new Set([...refusedIds, ...suspectedIds])],
      versions: listAllowedVersions(run) ?? [],
    };
  };

  const askForUsable = async (): Promise<SchedulerPlacement> => {
    for (let grants = 0; grants < MAX_GRANTS; grants += 1) {
      if (listAllowedVersions(run) === null) return { kind: 'unscheduled' };
      const outcome = await dependencies.scheduler.requestServer(
        service,
        readDemand,
        controller.signal,
      );
      if (outcome.kind === 'cancelled') {
        return refusal ? { kind: 'refused', refusal } : { kind: 'cancelled' };
      }
      if (outcome.kind === 'unknown') return { kind: 'unscheduled' };
      if (outcome.kind === 'refuse') {
        const { reason, returnMs } = outcome;
        return { kind: 'refused', refusal: { kind: 'not-run', reason, retryAfterMs: returnMs } };
      }
      const server = findUsable(run, outcome.server);
      if (server) return { kind: 'placed', placement: buildPlacement(run, server, outcome) };
      outcome.cancel();
      refusedIds.add(outcome.server);
      logDecision(dependencies, context, 'granted server not usable', { granted: outcome.server });
    }
    return { kind: 'unscheduled' };
  };

  const abort = (): void => controller.abort();
  if (run.ended.aborted) return { kind: 'cancelled' };
  run.ended.addEventListener('abort', abort, { once: true });
  try {
    return await askForUsable();
  } finally {
    run.ended.removeEventListener('abort', abort);
  }
};
