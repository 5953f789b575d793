import { computeNameId, mergePeerRecord } from '../../../../domain/membership';
import type { PeerRecord } from '../../../../domain/membership';

/** State of one VM; mutable inside the exchange only. */
export interface Member {
  record: PeerRecord;
  beats: number;
  /** Incarnation tag under which `beats` was counted. */
  incarnationTag: number;
  /** Latest monotonic time at which the VM is proven to have been alive, or null. */
  heardAtMs: number | null;
  /** Monotonic time of the last failed call, or null after a successful one. */
  failedAtMs: number | null;
  registered: boolean;
  configurationVersion: number;
}

/** The other VMs known to this VM. */
export interface MemberTable {
  find(vm: string): Member | null;
  /** Finds the VM with this name id; null if unknown or if two names share the id. */
  findById(id: number): Member | null;
  list(): readonly Member[];
  /** Merges a record; true if the held record changed. */
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

/** Creates an empty member table. */
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
      // A new process: neither the failures nor the heartbeats of the old one apply to it.
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
