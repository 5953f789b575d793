// Guards against a server that gets more requests than the rate limit that it names, or far fewer: many
// VMs ask for permits while some of them restart, freeze, join or are cut off.
import test from 'ava';
import { measureLimit, simulateLimits, type LimitSimulation } from '../../standins/limits';

const LIMITS_PER_S = [3.7, 4.8, 10];
const BASE = { requestsPerS: 16, limitsPerS: LIMITS_PER_S } as const;
const SEEDS = [1, 2, 3];

const FLEETS = [3, 9, 85, 195];

const WINDOW_MS = 4000;
const MAX_PART = 1.2;
const MIN_PART = 0.8;

const NAMED_AT_MS = 6000;

/** Servers may have got any number until then, of which the windows know. */
const SETTLED_MS = 9500;

/** What the operator bears from three seconds after a limit was named, windows from before included. */
const BORNE_FROM_MS = 9000;
const BORNE_PART = 1.5;
const BORNE_EXTRA = 5;

/** VMs count from so long after they got an answer that names the limit. */
const TOLD_MS = 500;

const TROUBLE = { part: 0.34, fromMs: 13_000, untilMs: 17_000 } as const;
const END_MS = 28_000;

/** Times within which the limits must be used, and after which nothing is out of order any more. */
const USED_FROM_MS = 20_000;

const play = async (
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
      const { usedFraction } = measureLimit(arrivals, { ...options, fromMs: USED_FROM_MS });
      parts.push({ mostPart: maxFraction, usedPart: usedFraction });
    });
  }
  return {
    mostPart: Math.max(...parts.map(({ mostPart }) => mostPart)),
    usedPart: Math.min(...parts.map(({ usedPart }) => usedPart)),
  };
};

FLEETS.forEach((vms) => {
  test(`${vms} VMs send servers what their limits allow, and hardly less`, async (t) => {
    const { mostPart, usedPart } = await play({ vms });
    t.true(mostPart <= MAX_PART, `${mostPart}`);
    t.true(usedPart >= MIN_PART, `${usedPart}`);
  });

  test(`what ${vms} VMs sent before they knew of a limit counts for it`, async (t) => {
    for (const seed of SEEDS) {
      const model = { ...BASE, vms, seed, durationMs: SETTLED_MS + WINDOW_MS };
      const { arrivals, limitLearnedAtMs } = await simulateLimits(model);
      LIMITS_PER_S.forEach((limitPerS, index) => {
        const all = arrivals[index] ?? [];
        const isTold = (vm: string, endMs: number): boolean =>
          (limitLearnedAtMs[index]?.get(vm) ?? Infinity) <= endMs - TOLD_MS;
        const counts = all
          .map(({ atMs }) => atMs)
          .filter((endMs) => endMs >= BORNE_FROM_MS)
          .map((endMs) =>
            all
              .filter(({ atMs }) => atMs > endMs - WINDOW_MS && atMs <= endMs)
              .filter(({ vm }) => isTold(vm, endMs)),
          );
        const most = Math.max(0, ...counts.map(({ length }) => length));
        const borne = (limitPerS * WINDOW_MS * BORNE_PART) / 1000 + BORNE_EXTRA;
        t.true(most <= borne, `${most} of ${borne}`);
      });
    }
  });

  test(`a limit that ends is forgotten by all of ${vms} VMs`, async (t) => {
    const limitUntilMs = NAMED_AT_MS + WINDOW_MS;
    const { arrivals } = await simulateLimits({ ...BASE, vms, seed: 1, limitUntilMs });
    LIMITS_PER_S.forEach((_, index) => {
      const { usedFraction } = measureLimit(arrivals[index] ?? [], {
        limitPerS: BASE.requestsPerS,
        fromMs: limitUntilMs + WINDOW_MS,
        untilMs: limitUntilMs + 3 * WINDOW_MS,
        windowMs: WINDOW_MS,
      });
      t.true(usedFraction >= MIN_PART, `${usedFraction}`);
    });
  });
});

(['restart', 'freeze', 'cut', 'join'] as const).forEach((kind) =>
  FLEETS.slice(1).forEach((vms) =>
    test(`limits hold in a fleet of ${vms} VMs of which a third has trouble (${kind})`, async (t) => {
      const { mostPart, usedPart } = await play({ vms, faults: [{ ...TROUBLE, kind }] });
      t.true(mostPart <= MAX_PART, `${mostPart}`);
      t.true(usedPart >= MIN_PART, `${usedPart}`);
    }),
  ),
);
