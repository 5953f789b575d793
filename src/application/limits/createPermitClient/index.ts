import { PERMIT_WINDOW_MS, type OwnerCandidate, type PermitDecision } from '../../../domain/limits';
import { createSkipList } from '../../_lib/createSkipList';
import type { Clock, EventLog, Randomness } from '../../ports';
import { askOwnerQuorum } from '../_lib/askOwnerQuorum';
import type { LimitOwner } from '../createLimitOwner';
import type { ServerLimits } from '../createServerLimits';
import type { LimitOwnerVm, LimitPeer, PermitRelease, PermitRequest } from '../types';

/** Dependencies of the permit client. */
export interface PermitClientDependencies {
  /** This VM. */
  readonly self: OwnerCandidate;
  readonly listPeers: () => readonly LimitPeer[];
  /** Asks another VM for a permit; resolves with null if the VM does not respond in time. */
  readonly askPeer: (address: string, request: PermitRequest) => Promise<PermitDecision | null>;
  /** Returns an unused permit to another VM. Best effort: nothing depends on delivery. */
  readonly notifyReleased: (address: string, release: PermitRelease) => void;
  readonly owner: LimitOwner;
  readonly limits: Pick<ServerLimits, 'readLimitPerS'>;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly randomness: Pick<Randomness, 'readHex'>;
  readonly log: EventLog;
}

/** The right to send one request to a server. */
export interface Permit {
  /** Returns the permit unused: no request was sent. */
  release(): void;
}

/** Acquires permits to send requests to servers with a rate limit. */
export interface PermitClient {
  /** Resolves with a permit, or with the time in milliseconds after which to ask again. */
  acquirePermit(server: string): Promise<Permit | number>;
  /** Forgets a server that is gone. */
  forgetServer(server: string): void;
}

/** A request that this VM sent, and the VMs that know of it. */
interface SentRequest {
  readonly atMs: number;
  readonly knownToVms: Set<string>;
}

const MS_PER_S = 1000;

/** Separates this VM's local share of a limit from the limits that it owns for all VMs. */
const LOCAL_SHARE_SUFFIX = ' alone';

const formatLocalShare = (server: string): string => `${server}${LOCAL_SHARE_SUFFIX}`;

/** A share below one request per window counts as none. */
const MIN_SHARE_PER_S = MS_PER_S / PERMIT_WINDOW_MS;

/** Length of the id of a permit, in bytes. */
const ID_BYTES = 8;

/** Time until the next attempt while too few owners respond. */
const NO_QUORUM_WAIT_MS = 500;

/**
 * Creates the permit client of this VM.
 *
 * A limit of a few requests per second is shared by hundreds of VMs, so that an even share per VM
 * would be less than one request per window. Instead, VMs ask the VM that owns the server's limit,
 * and a second owner confirms the permit. If VMs have different membership views, for example after
 * a failure, or if an owner does not respond, the two owners that they ask still overlap in one.
 */
export const createPermitClient = (dependencies: PermitClientDependencies): PermitClient => {
  const { askPeer, clock, owner, limits, listPeers, log, self, notifyReleased } = dependencies;
  const readId = (): string => dependencies.randomness.readHex(ID_BYTES);
  const { availabilityZone, vm: name } = self;
  const thisVm: LimitOwnerVm = { vm: name, availabilityZone, address: null };
  const sentRequestsByServer = new Map<string, SentRequest[]>();
  const silentOwners = createSkipList(clock);

  const addSentRequest = (server: string): SentRequest => {
    const nowMs = clock.readMonotonicMs();
    const recent = (sentRequestsByServer.get(server) ?? []).filter(
      ({ atMs }) => atMs > nowMs - PERMIT_WINDOW_MS,
    );
    const sentRequest = { atMs: nowMs, knownToVms: new Set<string>() };
    sentRequestsByServer.set(server, [...recent, sentRequest]);
    return sentRequest;
  };

  const removeSentRequest = (server: string, sentRequest: SentRequest): void => {
    const others = sentRequestsByServer.get(server)?.filter((one) => one !== sentRequest);
    if (others) sentRequestsByServer.set(server, others);
  };

  const askOwner = async (
    { address, vm }: LimitOwnerVm,
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
    // Marked before the response arrives, so that a concurrent request does not report them twice.
    unreported.forEach(({ knownToVms }) => knownToVms.add(vm));
    const decision =
      address === null
        ? owner.handlePermitRequest(fullRequest)
        : await askPeer(address, fullRequest);
    if (!decision) {
      unreported.forEach(({ knownToVms }) => knownToVms.delete(vm));
      silentOwners.add(vm);
      log.info('limit owner silent', { server: request.server, owner: vm });
    }
    return decision;
  };

  const releasePermits = (owners: readonly LimitOwnerVm[], server: string, id: string): void =>
    owners.forEach(({ address }) => {
      if (address === null) owner.releasePermit({ sender: name, server, id });
      else notifyReleased(address, { sender: name, server, id });
    });

  /** Decides by this VM's even share of the limit while too few owners respond. */
  const decideLocally = (server: string, id: string, sharePerS: number): PermitDecision => {
    if (sharePerS < MIN_SHARE_PER_S) return { isGranted: false, waitMs: NO_QUORUM_WAIT_MS };
    return owner.handlePermitRequest({
      sender: name,
      id,
      server: formatLocalShare(server),
      limitPerS: sharePerS,
      sentAgesMs: [],
      isConfirmation: false,
    });
  };

  const buildPermit = (
    server: string,
    granted: readonly LimitOwnerVm[],
    releaseGrants: () => void,
  ): Permit => {
    const sentRequest = addSentRequest(server);
    granted.forEach(({ vm }) => sentRequest.knownToVms.add(vm));
    return {
      release: () => {
        removeSentRequest(server, sentRequest);
        releaseGrants();
      },
    };
  };

  const askOwners = async (server: string, limitPerS: number): Promise<Permit | number> => {
    const vms: readonly LimitOwnerVm[] = [thisVm, ...listPeers()];
    const id = readId();
    const releaseAt = (owners: readonly LimitOwnerVm[]): void => releasePermits(owners, server, id);
    const decision = await askOwnerQuorum({
      server,
      vms,
      silentOwners,
      askOwner: (one, { isConfirmation }) =>
        askOwner(one, { server, id, limitPerS, isConfirmation }),
      releaseGrants: releaseAt,
    });
    if (decision.kind === 'granted') {
      const { owners } = decision;
      return buildPermit(server, owners, () => releaseAt(owners));
    }
    if (decision.kind === 'refused') return decision.waitMs;
    const localDecision = decideLocally(server, id, limitPerS / vms.length);
    if (!localDecision.isGranted) return localDecision.waitMs;
    return buildPermit(server, [], () =>
      owner.releasePermit({ sender: name, server: formatLocalShare(server), id }),
    );
  };

  return {
    acquirePermit: async (server) => {
      const limitPerS = limits.readLimitPerS(server);
      if (limitPerS === null) return buildPermit(server, [], () => undefined);
      return askOwners(server, limitPerS);
    },
    forgetServer: (server) => {
      sentRequestsByServer.delete(server);
    },
  };
};
