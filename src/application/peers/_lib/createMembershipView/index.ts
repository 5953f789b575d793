import type { PeerRecord } from '../../../../domain/membership';
import type { PeerFreshness, PeerView } from '../../types';
import type { FactStore } from '../createFactStore';
import type { Member, MemberTable } from '../createMemberTable';

/** A VM whose last proof of life is older than this no longer counts as heard. */
export const HEARD_TIMEOUT_MS = 5_000;
/** A VM not heard for this long is removed, unless it is registered. */
export const FORGET_TIMEOUT_MS = 600_000;

/** Dependencies of the membership view. */
export interface MembershipViewDependencies {
  readonly readSelf: () => PeerRecord;
  readonly members: MemberTable;
  readonly factStore: FactStore;
  readonly readNowMs: () => number;
  readonly readVersion: () => number;
  readonly readNewestReadAgeMs: () => number | null;
}

/** Queries on the other VMs. */
export interface MembershipView {
  isHeard(member: Member): boolean;
  /** Counts the VMs heard in this region, including this one. */
  countHeardInRegion(): number;
  /** Counts the VMs known in this region, excluding this one. */
  countMembersInRegion(): number;
  listPeers(): readonly PeerView[];
  /** Lists the names of this region's VMs that are heard and not leaving, including this one. */
  listLiveVms(): readonly string[];
  findPeerAddress(vm: string): string | null;
  readFreshness(): PeerFreshness;
}

/** Creates the membership view. */
export function createMembershipView(deps: MembershipViewDependencies): MembershipView {
  const { readSelf, members, factStore, readNowMs } = deps;
  const isHeard = ({ heardAtMs }: Member): boolean =>
    heardAtMs !== null && readNowMs() - heardAtMs < HEARD_TIMEOUT_MS;
  const isInOwnRegion = ({ record }: Member): boolean => record.region === readSelf().region;
  const countHeardInRegion = (): number =>
    members.list().filter((member) => isInOwnRegion(member) && isHeard(member)).length + 1;
  const countHeardInOtherRegions = (): number => {
    const elsewhere = members.list().filter((member) => !isInOwnRegion(member));
    const regions = [...new Set(elsewhere.map(({ record }) => record.region))];
    return regions
      .map((region) => {
        const digest = factStore.find(`region:${region}`);
        const isFresh = digest?.kind === 'region' && digest.ageMs < HEARD_TIMEOUT_MS;
        const direct = elsewhere.filter(
          (member) => member.record.region === region && isHeard(member),
        ).length;
        return isFresh ? Math.max(direct, digest.heard) : direct;
      })
      .reduce((sum, heard) => sum + heard, 0);
  };
  const convertMember = (member: Member): PeerView => ({
    ...member.record,
    heardAgeMs: member.heardAtMs === null ? null : readNowMs() - member.heardAtMs,
    registered: member.registered,
    configurationVersion: member.configurationVersion,
  });
  const convertSelf = (): PeerView => ({
    ...readSelf(),
    heardAgeMs: 0,
    registered: true,
    configurationVersion: deps.readVersion(),
  });

  return {
    isHeard,
    countHeardInRegion,
    countMembersInRegion: () => members.list().filter(isInOwnRegion).length,
    listPeers: () => [convertSelf(), ...members.list().map(convertMember)],
    listLiveVms: () => [
      readSelf().vm,
      ...members
        .list()
        .filter((member) => isInOwnRegion(member) && isHeard(member) && !member.record.leaving)
        .map(({ record }) => record.vm),
    ],
    findPeerAddress: (vm) => {
      const member = members.find(vm);
      return member !== null && isHeard(member) ? member.record.peerAddress : null;
    },
    readFreshness: () => {
      const vmsHeard = countHeardInRegion() + countHeardInOtherRegions();
      // A VM that is heard and leaving still counts as heard, and so also as registered.
      const counted = members.list().filter((member) => !member.record.leaving || isHeard(member));
      return {
        newestReadAgeMs: deps.readNewestReadAgeMs(),
        vmsHeard,
        vmsRegistered: Math.max(counted.length + 1, vmsHeard),
      };
    },
  };
}
