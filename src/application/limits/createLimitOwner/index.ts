import { decidePermit, PERMIT_WINDOW_MS, type PermitDecision } from '../../../domain/limits';
import type { Clock, Randomness } from '../../ports';
import type { ServerLimits } from '../createServerLimits';
import type { PermitRequest } from '../types';

/** What an owner needs. */
export interface LimitOwnerDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly randomness: Randomness;
  readonly limits: Pick<ServerLimits, 'readLimitPerS'>;
}

/** Keeps the rate limits of some servers for all VMs. */
export interface LimitOwner {
  /** Decides on a permit; one that is granted counts as a request that was sent. */
  handlePermitRequest(request: PermitRequest): PermitDecision;
  /** Takes a permit back that was not used. */
  releasePermit(server: string): void;
}

/** Requests and VMs that an owner knows of at one server. */
interface Window {
  sentAtMs: readonly number[];
  readonly askedAtMs: Map<string, number>;
}

/** A VM that was turned down asks again within this time. */
const ASKER_MS = 2000;

/** A server that nobody asked about for this long is forgotten. */
const IDLE_MS = 10_000;

/** A confirmation comes some milliseconds after the permit. */
const CONFIRMATION_SLACK = 1;

/** Creates the owner of this VM; it keeps nothing yet. */
export const createLimitOwner = ({
  clock,
  limits,
  randomness,
}: LimitOwnerDependencies): LimitOwner => {
  const windows = new Map<string, Window>();

  const dropIdle = (nowMs: number): void =>
    windows.forEach(({ askedAtMs }, server) => {
      if (Math.max(...askedAtMs.values()) < nowMs - IDLE_MS) windows.delete(server);
    });

  const openWindow = (server: string, nowMs: number): Window => {
    const known = windows.get(server);
    if (known) return known;
    dropIdle(nowMs);
    const opened = { sentAtMs: [], askedAtMs: new Map<string, number>() };
    windows.set(server, opened);
    return opened;
  };

  return {
    handlePermitRequest: ({ isConfirmation, limitPerS, sender, sentAgesMs, server }) => {
      const nowMs = clock.readMonotonicMs();
      const window = openWindow(server, nowMs);
      window.askedAtMs.set(sender, nowMs);
      window.sentAtMs = [...window.sentAtMs, ...sentAgesMs.map((ageMs) => nowMs - ageMs)]
        .filter((atMs) => atMs > nowMs - PERMIT_WINDOW_MS)
        .sort((a, b) => a - b);
      const askers = [...window.askedAtMs.values()].filter((atMs) => atMs > nowMs - ASKER_MS);
      const decision = decidePermit({
        sentAtMs: window.sentAtMs,
        limitPerS: Math.min(limitPerS, limits.readLimitPerS(server) ?? Infinity),
        nowMs,
        askingVms: askers.length,
        draw: randomness.readFraction(),
        slack: isConfirmation ? CONFIRMATION_SLACK : 0,
      });
      if (decision.isGranted) window.sentAtMs = [...window.sentAtMs, nowMs];
      return decision;
    },
    releasePermit: (server) => {
      const window = windows.get(server);
      if (window) window.sentAtMs = window.sentAtMs.slice(0, -1);
    },
  };
};
