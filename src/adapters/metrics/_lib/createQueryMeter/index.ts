import { Counter, type Registry } from 'prom-client';
import type { ForwardingMeter } from '../../../../application/forwarding';

/** Counts requests with an unusual end, and questions about servers. */
export interface QueryMeter extends Pick<ForwardingMeter, 'recordUnusualEnd'> {
  /** Records a request about the state of a backend server, or a question to a VM about servers. */
  recordQuery(kind: string): void;
  /** Reads the number of such requests since the start, by kind. */
  readQueryCounts(): Readonly<Record<string, number>>;
}

/** Creates the counters in a registry. */
export const createQueryMeter = (registry: Registry): QueryMeter => {
  const registers = [registry];
  const unusualEnds = new Counter({
    name: 'jackdaw_unusual_ends_total',
    help: 'Requests that ended after their deadline, or that callers left, by what they waited for.',
    labelNames: ['end', 'step'],
    registers,
  });
  const queries = new Counter({
    name: 'jackdaw_server_queries_total',
    help: 'Requests about the state of backend servers, by kind.',
    labelNames: ['kind'],
    registers,
  });
  const queryCounts = new Map<string, number>();
  return {
    recordUnusualEnd: (end, step) => unusualEnds.inc({ end, step }),
    recordQuery: (kind) => {
      queries.inc({ kind });
      queryCounts.set(kind, (queryCounts.get(kind) ?? 0) + 1);
    },
    readQueryCounts: () => Object.fromEntries(queryCounts),
  };
};
