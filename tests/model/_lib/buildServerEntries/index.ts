import type { ServerEntry } from '../../../../src/domain/forwarding';

/** Builds entries of servers of one service, `i-0` and on. */
export const buildServerEntries = (count: number): readonly ServerEntry[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `i-${index}`,
    service: 's',
    address: `i-${index}:1`,
    availabilityZone: `z${index % 3}`,
    slots: 8,
    isLeaving: false,
    warmupLeftMs: 0,
    version: '',
    sequence: 1,
    bornMs: null,
  }));
