import {
  PERMIT_WINDOW_MS,
  rankLimitOwners,
  type OwnerCandidate,
  type PermitDecision,
} from '../../../domain/limits';
import type { Clock, EventLog } from '../../ports';
import type { LimitOwner } from '../createLimitOwner';
import type { ServerLimits } from '../createServerLimits';
import type { LimitPeer, PermitRequest } from '../types';

/** What permits need. */
export interface PermitClientDependencies {
  /** This VM. */
  readonly self: OwnerCandidate;
  readonly listPeers: () => readonly LimitPeer[];
  /** Asks another VM; null if it does not answer in time. */
  readonly askPeer: (address: string, request: PermitRequest) => Promise<PermitDecision | null>;
  /** Gives a permit back to another VM; nothing depends on its arrival. */
  readonly notifyReleased: (address: string, server: string) => void;
  readonly owner: LimitOwner;
  readonly limits: Pick<ServerLimits, 'readLimitPerS'>;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
}

/** The right to send one request to a server. */
export interface Permit {
  /** Gives it back: no request was sent. */
  release(): void;
}

/** Asks for the right to send requests to servers with a rate limit. */
export interface PermitClient {
  /** Resolves with a permit, or with the time in milliseconds after which to ask again. */
  acquirePermit(server: string): Promise<Permit | number>;
  /** Forgets a server that is gone. */
  forgetServer(server: string): void;
}

/** A VM that may be asked; without an address it is this one. */
interface Owner extends OwnerCandidate {
  readonly address: string | null;
}

/** A request that this VM sent, and the owners that know of it. */
interface SentRequest {
  readonly atMs: number;
  readonly knownToVms: Set<string>;
}

const MS_PER_S = 1000;

/** Owners that must agree: VMs that know different others still have one in common. */
const OWNER_QUORUM = 2;

/** A owner that did not answer is passed over for this long. */
const SILENT_OWNER_SKIP_MS = 2000;

/** Distinguishes the part that this VM takes by itself from what it keeps for others. */
const LOCAL_SHARE_SUFFIX = ' alone';

/** A part below one request in the window is none. */
const MIN_SHARE_PER_S = MS_PER_S / PERMIT_WINDOW_MS;

/** When to ask again while too few owners answer. */
const NO_QUORUM_WAIT_MS = 500;

/**
 * Creates the permits of this VM.
 *
 * A limit of some requests a second holds for hundreds of VMs together: each VM's even part of it is less
 * than one request in the time that is looked at. So VMs ask the one that keeps the server's limit, and
 * a second one confirms it: where VMs know different others, for example after a loss, or an owner is
 * silent, the two that they ask still have one in common.
 */
export const createPermitClient = (dependencies: PermitClientDependencies): PermitClient => {
  const { askPeer, clock, owner, limits, listPeers, log, self, notifyReleased } = dependencies;
  const { availabilityZone, vm: name } = self;
  const thisVm: Owner = { vm: name, availabilityZone, address: null };
  const sentRequestsByServer = new Map<string, SentRequest[]>();
  const unreachableUntilMs = new Map<string, number>();

  const addSentRequest = (server: string): SentRequest => {
    const nowMs = clock.readMonotonicMs();
    const kept = (sentRequestsByServer.get(server) ?? []).filter(
      ({ atMs }) => atMs > nowMs - PERMIT_WINDOW_MS,
    );
    const sentRequest = { atMs: nowMs, knownToVms: new Set<string>() };
    sentRequestsByServer.set(server, [...kept, sentRequest]);
    return sentRequest;
  };

  const removeSentRequest = (server: string, sentRequest: SentRequest): void => {
    const kept = sentRequestsByServer.get(server)?.filter((one) => one !== sentRequest);
    if (kept) sentRequestsByServer.set(server, kept);
  };

  const isReachable = ({ vm }: Owner): boolean =>
    (unreachableUntilMs.get(vm) ?? 0) <= clock.readMonotonicMs();

  const askOwner = async (
    { address, vm }: Owner,
    request: Omit<PermitRequest, 'sender' | 'sentAgesMs'>,
  ): Promise<PermitDecision | null> => {
    const nowMs = clock.readMonotonicMs();
    const unreported = (sentRequestsByServer.get(request.server) ?? []).filter(
      ({ atMs, knownToVms }) => !knownToVms.has(vm) && atMs > nowMs - PERMIT_WINDOW_MS,
    );
    const fullRequest = {
      ...request,
      sender: name,
      sentAgesMs: unreported.map(({ atMs }) => Math.round(nowMs - atMs)),
    };
    // Before the answer: what is asked meanwhile must not count twice.
    unreported.forEach(({ knownToVms }) => knownToVms.add(vm));
    const decision =
      address === null
        ? owner.handlePermitRequest(fullRequest)
        : await askPeer(address, fullRequest);
    if (!decision) {
      unreported.forEach(({ knownToVms }) => knownToVms.delete(vm));
      unreachableUntilMs.set(vm, clock.readMonotonicMs() + SILENT_OWNER_SKIP_MS);
      log.info('limit owner silent', { server: request.server, owner: vm });
    }
    return decision;
  };

  const releaseAt = (owners: readonly Owner[], server: string): void =>
    owners.forEach(({ address }) => {
      if (address === null) owner.releasePermit(server);
      else notifyReleased(address, server);
    });

  /** Without enough owners that answer, this VM keeps to its even part. */
  const decideLocally = (server: string, sharePerS: number): PermitDecision => {
    if (sharePerS < MIN_SHARE_PER_S) return { isGranted: false, waitMs: NO_QUORUM_WAIT_MS };
    return owner.handlePermitRequest({
      sender: name,
      server: `${server}${LOCAL_SHARE_SUFFIX}`,
      limitPerS: sharePerS,
      sentAgesMs: [],
      isConfirmation: false,
    });
  };

  const sentRequest = (server: string, granted: readonly Owner[]): Permit => {
    const send = addSentRequest(server);
    granted.forEach(({ vm }) => send.knownToVms.add(vm));
    return {
      release: () => {
        removeSentRequest(server, send);
        releaseAt(granted, server);
      },
    };
  };

  const askOwners = async (server: string, limitPerS: number): Promise<Permit | number> => {
    const granted: Owner[] = [];
    const vms: readonly Owner[] = [thisVm, ...listPeers()];
    const needed = Math.min(OWNER_QUORUM, vms.length);
    for (const candidate of rankLimitOwners(vms.filter(isReachable), server)) {
      const isConfirmation = granted.length > 0;
      const decision = await askOwner(candidate, { server, limitPerS, isConfirmation });
      if (decision && !decision.isGranted) {
        releaseAt(granted, server);
        return decision.waitMs;
      }
      if (decision) granted.push(candidate);
      if (granted.length >= needed) return sentRequest(server, granted);
    }
    releaseAt(granted, server);
    const localDecision = decideLocally(server, limitPerS / vms.length);
    return localDecision.isGranted ? sentRequest(server, []) : localDecision.waitMs;
  };

  return {
    acquirePermit: async (server) => {
      const limitPerS = limits.readLimitPerS(server);
      if (limitPerS === null) return sentRequest(server, []);
      return askOwners(server, limitPerS);
    },
    forgetServer: (server) => {
      sentRequestsByServer.delete(server);
    },
  };
};
