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
interface Send {
  readonly atMs: number;
  readonly knownTo: Set<string>;
}

const MS_PER_S = 1000;

/** Owners that must agree: VMs that know different others still have one in common. */
const NEEDED_OWNERS = 2;

/** A owner that did not answer is passed over for this long. */
const UNREACHABLE_MS = 2000;

/** Distinguishes the part that this VM takes by itself from what it keeps for others. */
const ALONE_SUFFIX = ' alone';

/** A part below one request in the window is none. */
const MIN_PART_PER_S = MS_PER_S / PERMIT_WINDOW_MS;

/** When to ask again while too few owners answer. */
const ALONE_WAIT_MS = 500;

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
  const here: Owner = { vm: name, availabilityZone, address: null };
  const sendsOf = new Map<string, Send[]>();
  const unreachableUntilMs = new Map<string, number>();

  const addSend = (server: string): Send => {
    const nowMs = clock.readMonotonicMs();
    const kept = (sendsOf.get(server) ?? []).filter(({ atMs }) => atMs > nowMs - PERMIT_WINDOW_MS);
    const send = { atMs: nowMs, knownTo: new Set<string>() };
    sendsOf.set(server, [...kept, send]);
    return send;
  };

  const removeSend = (server: string, send: Send): void => {
    const kept = sendsOf.get(server)?.filter((one) => one !== send);
    if (kept) sendsOf.set(server, kept);
  };

  const isReachable = ({ vm }: Owner): boolean =>
    (unreachableUntilMs.get(vm) ?? 0) <= clock.readMonotonicMs();

  const askOwner = async (
    { address, vm }: Owner,
    request: Omit<PermitRequest, 'sender' | 'sentAgesMs'>,
  ): Promise<PermitDecision | null> => {
    const nowMs = clock.readMonotonicMs();
    const untold = (sendsOf.get(request.server) ?? []).filter(
      ({ atMs, knownTo }) => !knownTo.has(vm) && atMs > nowMs - PERMIT_WINDOW_MS,
    );
    const sent = {
      ...request,
      sender: name,
      sentAgesMs: untold.map(({ atMs }) => Math.round(nowMs - atMs)),
    };
    // Before the answer: what is asked meanwhile must not count twice.
    untold.forEach(({ knownTo }) => knownTo.add(vm));
    const decision =
      address === null ? owner.handlePermitRequest(sent) : await askPeer(address, sent);
    if (!decision) {
      untold.forEach(({ knownTo }) => knownTo.delete(vm));
      unreachableUntilMs.set(vm, clock.readMonotonicMs() + UNREACHABLE_MS);
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
  const decideAlone = (server: string, partPerS: number): PermitDecision => {
    if (partPerS < MIN_PART_PER_S) return { isGranted: false, waitMs: ALONE_WAIT_MS };
    return owner.handlePermitRequest({
      sender: name,
      server: `${server}${ALONE_SUFFIX}`,
      limitPerS: partPerS,
      sentAgesMs: [],
      isConfirmation: false,
    });
  };

  const buildPermit = (server: string, granted: readonly Owner[]): Permit => {
    const send = addSend(server);
    granted.forEach(({ vm }) => send.knownTo.add(vm));
    return {
      release: () => {
        removeSend(server, send);
        releaseAt(granted, server);
      },
    };
  };

  const askOwners = async (server: string, limitPerS: number): Promise<Permit | number> => {
    const granted: Owner[] = [];
    const vms: readonly Owner[] = [here, ...listPeers()];
    const needed = Math.min(NEEDED_OWNERS, vms.length);
    for (const candidate of rankLimitOwners(vms.filter(isReachable), server)) {
      const isConfirmation = granted.length > 0;
      const decision = await askOwner(candidate, { server, limitPerS, isConfirmation });
      if (decision && !decision.isGranted) {
        releaseAt(granted, server);
        return decision.waitMs;
      }
      if (decision) granted.push(candidate);
      if (granted.length >= needed) return buildPermit(server, granted);
    }
    releaseAt(granted, server);
    const alone = decideAlone(server, limitPerS / vms.length);
    return alone.isGranted ? buildPermit(server, []) : alone.waitMs;
  };

  return {
    acquirePermit: async (server) => {
      const limitPerS = limits.readLimitPerS(server);
      if (limitPerS === null) return buildPermit(server, []);
      return askOwners(server, limitPerS);
    },
    forgetServer: (server) => {
      sendsOf.delete(server);
    },
  };
};
