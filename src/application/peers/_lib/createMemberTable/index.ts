import { computeNameId, mergePeerRecord } from '../../../../domain/membership';
import type { PeerRecord } from '../../../../domain/membership';

/** What is held of one VM; mutable inside the exchange only. */
export interface Member {
  record: PeerRecord;
  beats: number;
  /** Incarnation tag under which `beats` was counted. */
  incarnationTag: number;
  /** Monotonic time at which it surely lived, or null. */
  heardAtMs: number | null;
  /** Monotonic time of the last failed call, or null after a good one. */
  failedAtMs: number | null;
  registered: boolean;
  configurationVersion: number;
}

/** The VMs known here, without this one. */
export interface MemberTable {
  find(vm: string): Member | null;
  /** The VM with this name id; null if unknown or if two names share it. */
  findById(id: number): Member | null;
  list(): readonly Member[];
  /** Takes a record; gives true if it changed what is held. */
  mergeRecord(record: PeerRecord): boolean;
  remove(vm: string): void;
}

function createMember(record: PeerRecord): Member {
  return {
    record,
    beats: 0,
    incarnationTag: -1,
    heardAtMs: null,
    failedAtMs: null,
    registered: false,
    configurationVersion: 0,
  };
}

/** Creates an empty table of members. */
export function createMemberTable(): MemberTable {
  const members = new Map<string, Member>();
  const vmsById = new Map<number, string | null>();

  const addName = (vm: string): void => {
    const id = computeNameId(vm);
    const holder = vmsById.get(id);
    vmsById.set(id, holder === undefined || holder === vm ? vm : null);
  };

  return {
    find: (vm) => members.get(vm) ?? null,
    findById: (id) => members.get(vmsById.get(id) ?? '') ?? null,
    list: () => [...members.values()],
    mergeRecord: (record) => {
      const member = members.get(record.vm);
      if (member === undefined) {
        members.set(record.vm, createMember(record));
        addName(record.vm);
        return true;
      }
      const merged = mergePeerRecord(member.record, record);
      if (merged === member.record) return false;
      // A new process: failures of the old one say nothing of it, nor do its heartbeats.
      if (merged.incarnation > member.record.incarnation) member.failedAtMs = null;
      member.record = merged;
      return true;
    },
    remove: (vm) => {
      members.delete(vm);
      vmsById.delete(computeNameId(vm));
    },
  };
}
