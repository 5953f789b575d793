import {
  chooseGossipPartners,
  computeNameId,
  MAX_FULL_MESH_VMS,
} from '../../../../domain/membership';
import type { Clock } from '../../../ports';
import type { Knowledge, Member } from '../../types';

/** What a member list needs. */
export interface MemberListDependencies {
  /** Name of this VM, which is no member. */
  readonly self: string;
  readonly clock: Clock;
}

/** The other VMs that were heard of lately. */
export interface MemberList {
  /** Takes news of a VM; older ones than those held change nothing. True: it was not known. */
  record(member: Member): boolean;
  /** Takes the ages that another VM has of those known here. */
  recordHeard(heard: Knowledge['heard']): void;
  /** Ages of those heard of lately, by the id of their name. */
  listHeard(): Knowledge['heard'];
  /** Those heard of lately that are not among these. */
  listMissing(heard: Knowledge['heard']): readonly Member[];
  /** Takes whether a VM answered a call. */
  recordCall(vm: string, call: { readonly hasAnswered: boolean }): void;
  /** Those heard of lately, with the present age of the news. */
  listLive(): readonly Member[];
  /** Those to exchange news with: all of a small fleet, some of a large one, always the same. */
  listPartners(): readonly Member[];
  /** True: news must be passed on, as each VM tells some others only. */
  needsRelay(): boolean;
}

/**
 * A VM that was not heard of for this long is drawn and counted no more. Twice the time that news of
 * one of 200 VMs takes to reach all others: VMs that count too few of them share out too many repeats.
 */
const MEMBER_AGE_MS = 12_000;

/** A partner that failed is left out for this long. */
const PARTNER_BACKOFF_MS = 8000;

interface Known {
  readonly member: Member;
  readonly nameId: number;
  readonly heardAtMs: number;
}

/** Creates the list of the other VMs; it is empty. */
export const createMemberList = ({ clock, self }: MemberListDependencies): MemberList => {
  const known = new Map<string, Known>();
  const vmOfNameId = new Map<number, string>();
  const failedAtMs = new Map<string, number>();

  const listKnownLive = (): readonly Known[] => {
    const sinceMs = clock.readMonotonicMs() - MEMBER_AGE_MS;
    return [...known.values()].filter(({ heardAtMs }) => heardAtMs >= sinceMs);
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
      const live = listLive();
      if (live.length < MAX_FULL_MESH_VMS) return live;
      const candidates = live.map(({ vm }) => ({ vm, failedAtMs: failedAtMs.get(vm) ?? null }));
      const options = { nowMs: clock.readMonotonicMs(), backoffMs: PARTNER_BACKOFF_MS };
      const chosen = new Set(chooseGossipPartners(self, candidates, options));
      return live.filter(({ vm }) => chosen.has(vm));
    },
    needsRelay: () => listLive().length >= MAX_FULL_MESH_VMS,
  };
};
