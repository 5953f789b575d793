import type { Clock } from '../../ports';

/** Bounds the probes and questions by which a VM learns what it reaches. */
export interface ProbeAllowance {
  /** Records a request of a caller, which earns a part of a probe. */
  recordRequest(): void;
  /**
   * Takes up to `count` probes; returns how many may be sent.
   *
   * @param reserve - what is left for more urgent ones
   */
  take(count: number, reserve?: number): number;
  /** True if a probe may be sent. */
  hasAny(): boolean;
}

/** Probes after a start: a check of failed servers with others beside them, and the search for relays. */
const MAX_PROBES = 32;

/** So that a VM without callers finds its links again. */
const PROBES_PER_S = 0.5;

/** A request that fails needs its server checked; most do not fail. */
const PROBES_PER_REQUEST = 0.5;

const MS_PER_S = 1000;

/**
 * Creates a full allowance.
 *
 * What a VM asks grows with the requests of its callers: not with the servers that it knows, nor with
 * the VMs that ask it.
 */
export const createProbeAllowance = (clock: Pick<Clock, 'readMonotonicMs'>): ProbeAllowance => {
  let probes = MAX_PROBES;
  let refilledAtMs = clock.readMonotonicMs();

  const add = (count: number): void => {
    probes = Math.min(MAX_PROBES, probes + count);
  };

  const refill = (): void => {
    const nowMs = clock.readMonotonicMs();
    add(((nowMs - refilledAtMs) * PROBES_PER_S) / MS_PER_S);
    refilledAtMs = nowMs;
  };

  return {
    recordRequest: () => add(PROBES_PER_REQUEST),
    take: (count, reserve = 0) => {
      refill();
      const taken = Math.max(0, Math.min(count, Math.floor(probes - reserve)));
      probes -= taken;
      return taken;
    },
    hasAny: () => {
      refill();
      return probes >= 1;
    },
  };
};
