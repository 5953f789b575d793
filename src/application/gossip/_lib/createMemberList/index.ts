import {
  chooseGossipPartners,
  computeNameId,
  MAX_FULL_MESH_VMS,
} from '../../../../domain/membership';
import type { Clock } from '../../../ports';
import type { Knowledge, Member } from '../../types';

/** Dependencies of a member list. */
export interface MemberListDependencies {
  /** Name of this VM, which is not listed as a member. */
  readonly self: string;
  readonly clock: Clock;
}

/** The other VMs heard of recently. */
export interface MemberList {
  /** Records a VM, unless newer news of it is held; true if the VM was not known. */
  record(member: Member): boolean;
  /** Merges the ages that another VM reports for known VMs. */
  recordHeard(heard: Knowledge['heard']): void;
  /** Lists the ages of the VMs heard of recently, by the id of their name. */
  listHeard(): Knowledge['heard'];
  /** Lists the VMs heard of recently that are missing in `heard`. */
  listMissing(heard: Knowledge['heard']): readonly Member[];
  /** Records whether a VM answered a call. */
  recordCall(vm: string, call: { readonly hasAnswered: boolean }): void;
  /** Lists the VMs heard of recently, with the current age of the news. */
  listLive(): readonly Member[];
  /** Lists the VMs to exchange news with: all of a small fleet, a stable few of a large one. */
  listPartners(): readonly Member[];
  /** Whether news must be relayed, because each VM sends it to some of the others only. */
  needsRelay(): boolean;
}

/**
 * A VM not heard of for this long is neither chosen nor counted. Twice the time that news of one of
 * 200 VMs takes to reach all others: a VM that counts too few others takes too large a share of the
 * retries.
 */
const MEMBER_TIMEOUT_MS = 12_000;

/** A partner that failed is skipped for this long. */
const PARTNER_BACKOFF_MS = 8000;

interface Known {
  readonly member: Member;
  readonly nameId: number;
  readonly heardAtMs: number;
}

/** Creates an empty member list. */
export const createMemberList = ({ clock, self }: MemberListDependencies): MemberList => {
  const known = new Map<string, Known>();
  const vmOfNameId = new Map<number, string>();
  const failedAtMs = new Map<string, number>();

  /** Lists live VMs, up to `maxCount` of them. */
  const listKnownLive = (maxCount = Infinity): readonly Known[] => {
    const sinceMs = clock.readMonotonicMs() - MEMBER_TIMEOUT_MS;
    const live: Known[] = [];
    for (const one of known.values()) {
      if (live.length >= maxCount) break;
      if (one.heardAtMs >= sinceMs) live.push(one);
    }
    return live;
  };

  const computeAgeMs = ({ heardAtMs }: Known): number =>
    Math.max(0, clock.readMonotonicMs() - heardAtMs);

  const buildMember = (one: Known): Member => ({ ...one.member, ageMs: computeAgeMs(one) });

  const listLive = (): readonly Member[] => listKnownLive().map(buildMember);

  return {
    record: (member) => {
      if (member.vm === self) return false;
      const heardAtMs = clock.readMonotonicMs() - member.ageMs;
      const before = known.get(member.vm);
      if (before && before.heardAtMs >= heardAtMs) return false;
      const nameId = before?.nameId ?? computeNameId(member.vm);
      known.set(member.vm, { member, nameId, heardAtMs });
      vmOfNameId.set(nameId, member.vm);
      return !before;
    },
    recordHeard: (heard) => {
      const nowMs = clock.readMonotonicMs();
      heard.forEach((ageMs, nameId) => {
        const before = known.get(vmOfNameId.get(nameId) ?? '');
        if (!before || before.heardAtMs >= nowMs - ageMs) return;
        known.set(before.member.vm, { ...before, heardAtMs: nowMs - ageMs });
      });
    },
    listHeard: () => new Map(listKnownLive().map((one) => [one.nameId, computeAgeMs(one)])),
    listMissing: (heard) =>
      listKnownLive()
        .filter(({ nameId }) => !heard.has(nameId))
        .map(buildMember),
    recordCall: (vm, { hasAnswered }) => {
      if (hasAnswered) failedAtMs.delete(vm);
      else failedAtMs.set(vm, clock.readMonotonicMs());
    },
    listLive,
    listPartners: () => {
      const live = listKnownLive();
      if (live.length < MAX_FULL_MESH_VMS) return live.map(buildMember);
      const candidates = live.map(({ member: { vm } }) => ({
        vm,
        failedAtMs: failedAtMs.get(vm) ?? null,
      }));
      const options = { nowMs: clock.readMonotonicMs(), backoffMs: PARTNER_BACKOFF_MS };
      const chosen = new Set(chooseGossipPartners(self, candidates, options));
      return live.filter(({ member }) => chosen.has(member.vm)).map(buildMember);
    },
    needsRelay: () => listKnownLive(MAX_FULL_MESH_VMS).length >= MAX_FULL_MESH_VMS,
  };
};
