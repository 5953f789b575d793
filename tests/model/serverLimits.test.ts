// Simulates VMs that request permits while some of them restart, freeze, join or are partitioned.
// Guards against a server that gets more requests than its announced rate limit, or far fewer.
import test from 'ava';
import { measureLimit, simulateLimits, type LimitSimulation } from '../../standins/limits';

const LIMITS_PER_S = [3.7, 4.8, 10];
const BASE = { requestsPerS: 16, limitsPerS: LIMITS_PER_S } as const;
const SEEDS = [1, 2, 3];

const FLEETS = [3, 9, 85, 195];

const WINDOW_MS = 4000;
const MAX_USED_SHARE = 1.2;
const MIN_USED_SHARE = 0.8;

const ANNOUNCED_AT_MS = 6000;

/**
 * Start of the checks. Until then servers may get any number of requests; the windows count them.
 */
const SETTLED_MS = 9500;

/** Excess that the operator tolerates, from three seconds after a limit was announced. */
const TOLERANCE_FROM_MS = 9000;
const TOLERATED_RATIO = 1.5;
const TOLERATED_EXTRA = 5;

/** A VM's requests count from this long after the VM received the limit. */
const KNOWN_AFTER_MS = 500;

const FAULT = { fraction: 0.34, fromMs: 13_000, untilMs: 17_000 } as const;
const END_MS = 28_000;

/** From here on every fault is over, and the limits must be used. */
const RECOVERED_MS = 20_000;

const runSeeds = async (
  model: Omit<LimitSimulation, 'limitsPerS' | 'requestsPerS' | 'seed'>,
): Promise<{ readonly mostPart: number; readonly usedPart: number }> => {
  const parts: { readonly mostPart: number; readonly usedPart: number }[] = [];
  for (const seed of SEEDS) {
    const result = await simulateLimits({ ...BASE, ...model, seed, durationMs: END_MS });
    LIMITS_PER_S.forEach((limitPerS, index) => {
      const arrivals = result.arrivals[index] ?? [];
      const options = { limitPerS, untilMs: END_MS, windowMs: WINDOW_MS };
      const counted = arrivals.filter(({ atMs, vm }) => !result.isAffected(vm, atMs));
      const { maxFraction } = measureLimit(counted, { ...options, fromMs: SETTLED_MS });
      const { usedFraction } = measureLimit(arrivals, { ...options, fromMs: RECOVERED_MS });
      parts.push({ mostPart: maxFraction, usedPart: usedFraction });
    });
  }
  return {
    mostPart: Math.max(...parts.map(({ mostPart }) => mostPart)),
    usedPart: Math.min(...parts.map(({ usedPart }) => usedPart)),
  };
};

FLEETS.forEach((vms) => {
  test(`${vms} VMs use the servers' limits nearly fully and do not exceed them`, async (t) => {
    const { mostPart, usedPart } = await runSeeds({ vms });
    t.true(mostPart <= MAX_USED_SHARE, `${mostPart}`);
    t.true(usedPart >= MIN_USED_SHARE, `${usedPart}`);
  });

  test(`requests that ${vms} VMs sent before they knew a limit count towards it`, async (t) => {
    for (const seed of SEEDS) {
      const model = { ...BASE, vms, seed, durationMs: SETTLED_MS + WINDOW_MS };
      const { arrivals, limitLearnedAtMs } = await simulateLimits(model);
      LIMITS_PER_S.forEach((limitPerS, index) => {
        const all = arrivals[index] ?? [];
        const knowsLimit = (vm: string, endMs: number): boolean =>
          (limitLearnedAtMs[index]?.get(vm) ?? Infinity) <= endMs - KNOWN_AFTER_MS;
        const counts = all
          .map(({ atMs }) => atMs)
          .filter((endMs) => endMs >= TOLERANCE_FROM_MS)
          .map((endMs) =>
            all
              .filter(({ atMs }) => atMs > endMs - WINDOW_MS && atMs <= endMs)
              .filter(({ vm }) => knowsLimit(vm, endMs)),
          );
        const most = Math.max(0, ...counts.map(({ length }) => length));
        const tolerated = (limitPerS * WINDOW_MS * TOLERATED_RATIO) / 1000 + TOLERATED_EXTRA;
        t.true(most <= tolerated, `${most} of ${tolerated}`);
      });
    }
  });

  test(`all of ${vms} VMs drop a limit that is no longer announced`, async (t) => {
    const limitUntilMs = ANNOUNCED_AT_MS + WINDOW_MS;
    const { arrivals } = await simulateLimits({ ...BASE, vms, seed: 1, limitUntilMs });
    LIMITS_PER_S.forEach((_, index) => {
      const { usedFraction } = measureLimit(arrivals[index] ?? [], {
        limitPerS: BASE.requestsPerS,
        fromMs: limitUntilMs + WINDOW_MS,
        untilMs: limitUntilMs + 3 * WINDOW_MS,
        windowMs: WINDOW_MS,
      });
      t.true(usedFraction >= MIN_USED_SHARE, `${usedFraction}`);
    });
  });
});

(['restart', 'freeze', 'cut', 'join'] as const).forEach((kind) =>
  FLEETS.slice(1).forEach((vms) =>
    test(`limits hold in a fleet of ${vms} VMs while a third has a fault (${kind})`, async (t) => {
      const { mostPart, usedPart } = await runSeeds({ vms, faults: [{ ...FAULT, kind }] });
      t.true(mostPart <= MAX_USED_SHARE, `${mostPart}`);
      t.true(usedPart >= MIN_USED_SHARE, `${usedPart}`);
    }),
  ),
);
