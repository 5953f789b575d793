import { findWorkClassPolicy } from '../../../domain/admission';
import type { WorkClass } from '../../../domain/types';
import type { Clock } from '../../ports';
import { createWaitQueue } from '../createWaitQueue';
import type { TrySend, WaitQueue } from '../createWaitQueue';
import type { ServerPool } from '../types';

/** The queues of this VM: one for each class of work and set of places. */
export interface WaitQueues {
  findQueue(pool: ServerPool, workClass: WorkClass): WaitQueue;
  /** Serves all queues, quick work first. */
  serve(trySend: TrySend): void;
  countWaiting(): number;
}

/** Creates the queues. */
export function createWaitQueues(dependencies: { readonly clock: Clock }): WaitQueues {
  const queues = new Map<string, { readonly rank: number; readonly queue: WaitQueue }>();
  let turn = 0;

  /** Queues of one class take turns in being first, so that none is always last. */
  const listInTurn = (): readonly WaitQueue[] => {
    const busy = [...queues.values()].filter(({ queue }) => queue.countWaiting() > 0);
    const shift = busy.length > 0 ? turn % busy.length : 0;
    turn += 1;
    return [...busy.slice(shift), ...busy.slice(0, shift)]
      .sort((left, right) => left.rank - right.rank)
      .map(({ queue }) => queue);
  };

  return {
    findQueue: (pool, workClass) => {
      const rank = findWorkClassPolicy(workClass).queueRank;
      const key = `${rank}\n${pool.placesKey}`;
      const held = queues.get(key) ?? { rank, queue: createWaitQueue(dependencies) };
      queues.set(key, held);
      return held.queue;
    },
    serve: (trySend) => listInTurn().forEach((queue) => queue.serve(trySend)),
    countWaiting: () =>
      [...queues.values()].reduce((sum, { queue }) => sum + queue.countWaiting(), 0),
  };
}
