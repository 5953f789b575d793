import { findWorkClassPolicy } from '../../../domain/admission';
import type { WorkClass } from '../../../domain/types';
import type { Clock } from '../../ports';
import { createWaitQueue } from '../createWaitQueue';
import type { TrySend, WaitQueue } from '../createWaitQueue';
import type { ServerPool } from '../types';

/** The wait queues of this VM: one for each queue rank and set of places. */
export interface WaitQueues {
  findQueue(pool: ServerPool, workClass: WorkClass): WaitQueue;
  /** Serves all queues, those of the lowest rank first. */
  serve(trySend: TrySend): void;
  countWaiting(): number;
}

/** Creates the wait queues. */
export function createWaitQueues(dependencies: { readonly clock: Clock }): WaitQueues {
  const queues = new Map<string, { readonly rank: number; readonly queue: WaitQueue }>();
  let rotation = 0;

  /** Rotates the queues of equal rank round-robin, so that none is always served last. */
  const listRoundRobin = (): readonly WaitQueue[] => {
    const nonEmpty = [...queues.values()].filter(({ queue }) => queue.countWaiting() > 0);
    const offset = nonEmpty.length > 0 ? rotation % nonEmpty.length : 0;
    rotation += 1;
    return [...nonEmpty.slice(offset), ...nonEmpty.slice(0, offset)]
      .sort((left, right) => left.rank - right.rank)
      .map(({ queue }) => queue);
  };

  return {
    findQueue: (pool, workClass) => {
      const rank = findWorkClassPolicy(workClass).queueRank;
      const key = `${rank}\n${pool.placesKey}`;
      const entry = queues.get(key) ?? { rank, queue: createWaitQueue(dependencies) };
      queues.set(key, entry);
      return entry.queue;
    },
    serve: (trySend) => listRoundRobin().forEach((queue) => queue.serve(trySend)),
    countWaiting: () =>
      [...queues.values()].reduce((sum, { queue }) => sum + queue.countWaiting(), 0),
  };
}
