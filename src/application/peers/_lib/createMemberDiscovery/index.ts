import type { VmRecord } from '../../../../domain/types';
import type { Clock } from '../../../ports';
import type { FactStore } from '../createFactStore';
import type { MemberTable } from '../createMemberTable';
import { FORGET_TIMEOUT_MS } from '../createMembershipView';
import type { PartnerTable } from '../createPartnerTable';

/** Who names VMs from outside: the platform's list, or the registrations in the table. */
export type DiscoverySource = 'list' | 'registrations';

/** A VM as an outside source names it; a source without incarnations leaves it out. */
export interface DiscoveredVm extends VmRecord {
  readonly incarnation?: number;
}

/** What the sources need. */
export interface MemberDiscoveryDependencies {
  readonly self: string;
  readonly clock: Clock;
  readonly factStore: FactStore;
  readonly members: MemberTable;
  readonly partners: PartnerTable;
}

/** Joins what outside sources say with the members. */
export interface MemberDiscovery {
  /** Names all VMs that the source holds right now. */
  recordMembers(source: DiscoverySource, records: readonly DiscoveredVm[]): void;
}

/** Creates the join of the outside sources. */
export function createMemberDiscovery(deps: MemberDiscoveryDependencies): MemberDiscovery {
  const { members, factStore, partners } = deps;
  const named: Record<DiscoverySource, ReadonlySet<string>> = {
    list: new Set(),
    registrations: new Set(),
  };
  const unheardSince = new Map<string, number>();

  const removeMember = (vm: string): void => {
    members.remove(vm);
    partners.remove(vm);
    factStore.remove(`peer:${vm}`);
    factStore.remove(`pulse:${vm}`);
    unheardSince.delete(vm);
  };
  const isRegistered = (vm: string): boolean => named.list.has(vm) || named.registrations.has(vm);
  const removeForgotten = (): void => {
    const nowMs = deps.clock.readMonotonicMs();
    for (const member of members.list()) {
      const { vm } = member.record;
      member.registered = isRegistered(vm);
      if (!unheardSince.has(vm)) unheardSince.set(vm, nowMs);
      const lastMs = Math.max(member.heardAtMs ?? 0, unheardSince.get(vm) ?? nowMs);
      if (!member.registered && nowMs - lastMs > FORGET_TIMEOUT_MS) removeMember(vm);
    }
  };

  return {
    recordMembers: (source, records) => {
      const others = records.filter(
        ({ vm, peerAddress }) => vm !== deps.self && peerAddress !== '',
      );
      named[source] = new Set(others.filter(({ leaving }) => !leaving).map(({ vm }) => vm));
      others.forEach((record) => {
        const incarnation = record.incarnation ?? members.find(record.vm)?.record.incarnation ?? 0;
        members.mergeRecord({ ...record, incarnation });
      });
      removeForgotten();
    },
  };
}
