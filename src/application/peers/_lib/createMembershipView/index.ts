import type { PeerRecord } from '../../../../domain/membership';
import type { PeerFreshness, PeerView } from '../../types';
import type { FactStore } from '../createFactStore';
import type { Member, MemberTable } from '../createMemberTable';

/** A VM whose last sign of life is older is not counted as heard. */
export const HEARD_TIMEOUT_MS = 5_000;
/** A VM unheard for this long is forgotten, unless it is registered. */
export const FORGET_TIMEOUT_MS = 600_000;

/** What the view needs. */
export interface MembershipViewDependencies {
  readonly readSelf: () => PeerRecord;
  readonly members: MemberTable;
  readonly factStore: FactStore;
  readonly readNowMs: () => number;
  readonly readVersion: () => number;
  readonly readNewestReadAgeMs: () => number | null;
}

/** Answers about the other VMs. */
export interface MembershipView {
  isHeard(member: Member): boolean;
  /** VMs heard in this region, with this one. */
  countHeardInRegion(): number;
  /** VMs known in this region, without this one. */
  countMembersInRegion(): number;
  listPeers(): readonly PeerView[];
  /** Names of VMs of this region that live and are not leaving, with this one. */
  listLiveVms(): readonly string[];
  findPeerAddress(vm: string): string | null;
  readFreshness(): PeerFreshness;
}

/** Creates the view of the other VMs. */
export function createMembershipView(deps: MembershipViewDependencies): MembershipView {
  const { readSelf, members, factStore, readNowMs } = deps;
  const isHeard = ({ heardAtMs }: Member): boolean =>
    heardAtMs !== null && readNowMs() - heardAtMs < HEARD_TIMEOUT_MS;
  const isHere = ({ record }: Member): boolean => record.region === readSelf().region;
  const countHeardHere = (): number =>
    members.list().filter((member) => isHere(member) && isHeard(member)).length + 1;
  const countHeardElsewhere = (): number => {
    const elsewhere = members.list().filter((member) => !isHere(member));
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
    countHeardInRegion: countHeardHere,
    countMembersInRegion: () => members.list().filter(isHere).length,
    listPeers: () => [convertSelf(), ...members.list().map(convertMember)],
    listLiveVms: () => [
      readSelf().vm,
      ...members
        .list()
        .filter((member) => isHere(member) && isHeard(member) && !member.record.leaving)
        .map(({ record }) => record.vm),
    ],
    findPeerAddress: (vm) => {
      const member = members.find(vm);
      return member !== null && isHeard(member) ? member.record.peerAddress : null;
    },
    readFreshness: () => {
      const vmsHeard = countHeardHere() + countHeardElsewhere();
      // A VM that is heard and leaving still counts as heard, hence also as registered.
      const counted = members.list().filter((member) => !member.record.leaving || isHeard(member));
      return {
        newestReadAgeMs: deps.readNewestReadAgeMs(),
        vmsHeard,
        vmsRegistered: Math.max(counted.length + 1, vmsHeard),
      };
    },
  };
}
