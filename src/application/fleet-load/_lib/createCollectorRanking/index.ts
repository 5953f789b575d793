import { rankCollectors } from '../../../../domain/fleet-load';
import { createSkipList } from '../../../_lib/createSkipList';
import type { FleetLoadDependencies, FleetLoadPeer } from '../../types';

/** A VM that collects; its address is null for this VM. */
export type Collector = Omit<FleetLoadPeer, 'address'> & { readonly address: string | null };

/** The collectors of the availability zones. */
export interface CollectorRanking {
  /** Finds the collector of this VM's zone. */
  findOwn(): Collector;
  /** Lists the collector of each zone, but for this VM. */
  listOthers(): readonly FleetLoadPeer[];
  /** Skips a VM that did not answer for a while. */
  skip(vm: string): void;
}

/** Creates the ranking of the collectors. */
export const createCollectorRanking = ({
  clock,
  listPeers,
  log,
  self,
}: Pick<FleetLoadDependencies, 'clock' | 'listPeers' | 'log' | 'self'>): CollectorRanking => {
  const skipped = createSkipList(clock);
  let lastOwn: string | null = null;

  const listCandidates = (): readonly Collector[] => {
    const peers = listPeers().filter(({ vm }) => vm !== self.vm && !skipped.has(vm));
    return [{ ...self, address: null }, ...peers];
  };

  return {
    findOwn: () => {
      const own: Collector = rankCollectors(listCandidates(), self.availabilityZone)[0] ?? {
        ...self,
        address: null,
      };
      if (own.vm !== lastOwn) {
        log.info('load collector changed', {
          zone: self.availabilityZone,
          collector: own.vm,
          previous: lastOwn ?? '',
        });
      }
      lastOwn = own.vm;
      return own;
    },
    listOthers: () => {
      const candidates = listCandidates();
      const zones = new Set(candidates.map(({ availabilityZone }) => availabilityZone));
      return [...zones].flatMap((zone) => {
        const first = rankCollectors(candidates, zone)[0];
        return first && first.address !== null ? [{ ...first, address: first.address }] : [];
      });
    },
    skip: (vm) => {
      skipped.add(vm);
      log.info('load collector skipped', { collector: vm, reason: 'no answer' });
    },
  };
};
