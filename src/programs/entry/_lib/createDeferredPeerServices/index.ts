import type { PeerServices } from '../../../../application/peers';

/** Services whose target is set later. */
export interface DeferredPeerServices {
  readonly services: PeerServices;
  setTarget(target: PeerServices): void;
}

/**
 * Creates services to listen with before the parts behind them exist.
 *
 * A VM that takes a free port knows its peer address only once it listens, and its parts need that
 * address. Calls that arrive before the target is set fail, as if this VM had not started yet.
 */
export const createDeferredPeerServices = (): DeferredPeerServices => {
  let target: PeerServices | null = null;
  const readTarget = (): PeerServices => {
    if (target === null) throw new Error('this VM has not started yet');
    return target;
  };
  return {
    services: {
      handleNews: (news) => readTarget().handleNews(news),
      generations: {
        findGeneration: (...source) => readTarget().generations?.findGeneration(...source) ?? null,
        cancelGeneration: async (...source) =>
          (await readTarget().generations?.cancelGeneration(...source)) ?? false,
      },
      decisions: { listDecisions: (requestId) => readTarget().decisions.listDecisions(requestId) },
      readEncoded: (newerThan) => readTarget().readEncoded(newerThan),
      readStatus: () => readTarget().readStatus(),
      drain: () => readTarget().drain(),
    },
    setTarget: (next) => {
      target = next;
    },
  };
};
