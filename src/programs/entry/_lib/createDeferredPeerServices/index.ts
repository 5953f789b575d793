import type { PeerServices } from '../../../../application/peers';

/** Peer services that delegate to a target which is set later. */
export interface DeferredPeerServices {
  readonly services: PeerServices;
  setTarget(target: PeerServices): void;
}

/**
 * Creates peer services that a server can listen with before their target exists.
 *
 * A VM that binds a free port knows its peer address only once it listens, and its parts need that
 * address. Calls that arrive before the target is set fail.
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
        findGeneration: (...args) => readTarget().generations?.findGeneration(...args) ?? null,
        cancelGeneration: async (...args) =>
          (await readTarget().generations?.cancelGeneration(...args)) ?? false,
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
