import type { VmRecord } from '../../../../domain/types';
import type { Clock } from '../../../ports';
import type { FactStore } from '../createFactStore';
import type { MemberTable } from '../createMemberTable';
import { FORGET_TIMEOUT_MS } from '../createMembershipView';
import type { PartnerTable } from '../createPartnerTable';

/** Source that names VMs: the platform's list or the registrations in the table. */
export type DiscoverySource = 'list' | 'registrations';

/** A VM as named by a source; sources without incarnations omit the incarnation. */
export interface DiscoveredVm extends VmRecord {
  readonly incarnation?: number;
}

/** Dependencies of the member discovery. */
export interface MemberDiscoveryDependencies {
  readonly self: string;
  readonly clock: Clock;
  readonly factStore: FactStore;
  readonly members: MemberTable;
  readonly partners: PartnerTable;
}

/** Merges the VMs named by the discovery sources into the members. */
export interface MemberDiscovery {
  /** Records all VMs that the source currently names. */
  recordMembers(source: DiscoverySource, records: readonly DiscoveredVm[]): void;
}

/** Creates the member discovery. */
export function createMemberDiscovery(deps: MemberDiscoveryDependencies): MemberDiscovery {
  const { members, factStore, partners } = deps;
  const namedVms: Record<DiscoverySource, ReadonlySet<string>> = {
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
  const isRegistered = (vm: string): boolean =>
    namedVms.list.has(vm) || namedVms.registrations.has(vm);
  const removeExpired = (): void => {
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
      namedVms[source] = new Set(others.filter(({ leaving }) => !leaving).map(({ vm }) => vm));
      others.forEach((record) => {
        const incarnation = record.incarnation ?? members.find(record.vm)?.record.incarnation ?? 0;
        members.mergeRecord({ ...record, incarnation });
      });
      removeExpired();
    },
  };
}
