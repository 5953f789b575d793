import { decidePermit, PERMIT_WINDOW_MS, type PermitDecision } from '../../../domain/limits';
import type { Clock, Randomness } from '../../ports';
import type { ServerLimits } from '../createServerLimits';
import type { PermitRelease, PermitRequest } from '../types';

/** Dependencies of the limit owner. */
export interface LimitOwnerDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly randomness: Randomness;
  readonly limits: Pick<ServerLimits, 'readLimitPerS'>;
}

/** Enforces the rate limits of the servers that this VM owns, for all VMs together. */
export interface LimitOwner {
  /** Decides on a permit request. A granted permit counts as a sent request. */
  handlePermitRequest(request: PermitRequest): PermitDecision;
  /** Takes back a permit that its VM did not use: the one it names, or else its latest one. */
  releasePermit(release: PermitRelease): void;
}

/** A sent request, or a permit for one. */
interface CountedRequest {
  readonly atMs: number;
  /** VM that sent it. */
  readonly sender: string;
  /** Id of the permit; empty if it has none. */
  readonly id: string;
}

/** Recent requests to one server, and the VMs that asked for permits. */
interface ServerWindow {
  sentRequests: readonly CountedRequest[];
  readonly lastAskedAtMsByVm: Map<string, number>;
}

/** A VM whose request was denied asks again within this time. */
const ASKER_TTL_MS = 2000;

/** A server that no VM has asked about for this long is removed. */
const IDLE_WINDOW_TTL_MS = 10_000;

/** A confirmation arrives some milliseconds after the first owner granted the permit. */
const CONFIRMATION_SLACK_REQUESTS = 1;

/** Creates the limit owner of this VM, with no servers yet. */
export const createLimitOwner = ({
  clock,
  limits,
  randomness,
}: LimitOwnerDependencies): LimitOwner => {
  const windows = new Map<string, ServerWindow>();

  const removeIdleWindows = (nowMs: number): void =>
    windows.forEach(({ lastAskedAtMsByVm }, server) => {
      if (Math.max(...lastAskedAtMsByVm.values()) < nowMs - IDLE_WINDOW_TTL_MS)
        windows.delete(server);
    });

  const findOrCreateWindow = (server: string, nowMs: number): ServerWindow => {
    const known = windows.get(server);
    if (known) return known;
    removeIdleWindows(nowMs);
    const opened = { sentRequests: [], lastAskedAtMsByVm: new Map<string, number>() };
    windows.set(server, opened);
    return opened;
  };

  return {
    handlePermitRequest: ({ id, isConfirmation, limitPerS, sender, sentAgesMs, server }) => {
      const nowMs = clock.readMonotonicMs();
      const window = findOrCreateWindow(server, nowMs);
      window.lastAskedAtMsByVm.set(sender, nowMs);
      const reported = sentAgesMs.map((ageMs) => ({ atMs: nowMs - ageMs, sender, id: '' }));
      window.sentRequests = [...window.sentRequests, ...reported]
        .filter(({ atMs }) => atMs > nowMs - PERMIT_WINDOW_MS)
        .sort((a, b) => a.atMs - b.atMs);
      const recentAskers = [...window.lastAskedAtMsByVm.values()].filter(
        (atMs) => atMs > nowMs - ASKER_TTL_MS,
      );
      const decision = decidePermit({
        sentAtMs: window.sentRequests.map(({ atMs }) => atMs),
        limitPerS: Math.min(limitPerS, limits.readLimitPerS(server) ?? Infinity),
        nowMs,
        askingVms: recentAskers.length,
        draw: randomness.readFraction(),
        slack: isConfirmation ? CONFIRMATION_SLACK_REQUESTS : 0,
      });
      if (decision.isGranted)
        window.sentRequests = [...window.sentRequests, { atMs: nowMs, sender, id }];
      return decision;
    },
    releasePermit: ({ id, sender, server }) => {
      const window = windows.get(server);
      if (!window) return;
      const released = window.sentRequests.findLast(
        (request) =>
          (sender === '' || request.sender === sender) && (id === '' || request.id === id),
      );
      window.sentRequests = window.sentRequests.filter((request) => request !== released);
    },
  };
};
