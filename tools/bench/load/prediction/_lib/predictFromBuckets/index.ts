/** A bucket of lengths, as the paper's bucketing keeps it. */
export interface Bucket {
  /** The largest length in it: what a choice of it reserves. */
  readonly representative: number;
  /** Mean length in it, by significance. */
  readonly mean: number;
  /** Part of all significance, 0 to 1. */
  readonly probability: number;
}

/** Buckets tried at most, as in the paper's evaluation. */
const MAX_BUCKETS = 10;

interface WeightedLength {
  readonly length: number;
  /** Newer lengths count more: the paper uses the number of the task. */
  readonly significance: number;
}

function buildBucket(records: readonly WeightedLength[], total: number): Bucket {
  const weight = records.reduce((sum, { significance }) => sum + significance, 0);
  const product = records.reduce((sum, { length, significance }) => sum + length * significance, 0);
  return {
    representative: records.at(-1)?.length ?? 0,
    mean: product / weight,
    probability: weight / total,
  };
}

/** Splits sorted records at evenly spaced values; empty buckets are left out. */
function splitEvenly(records: readonly WeightedLength[], count: number): readonly Bucket[] {
  const largest = records.at(-1)?.length ?? 0;
  const total = records.reduce((sum, { significance }) => sum + significance, 0);
  return Array.from({ length: count }, (_, index) => {
    const low = (largest * index) / count;
    const high = (largest * (index + 1)) / count;
    return records.filter(({ length }) => length > low && length <= high);
  })
    .filter((part) => part.length > 0)
    .map((part) => buildBucket(part, total));
}

/** Computes the expected waste of a generation over the buckets it may fall in and be given. */
function computeExpectedWaste(buckets: readonly Bucket[]): number {
  const computeWaste = (fallsIn: number, given: number): number => {
    const bucket = buckets[given];
    if (bucket === undefined) return 0;
    if (fallsIn <= given) return bucket.representative - (buckets[fallsIn]?.mean ?? 0);
    const higher = buckets.slice(given + 1);
    const rest = higher.reduce((sum, { probability }) => sum + probability, 0);
    const next = higher.reduce(
      (sum, { probability }, step) =>
        sum + (probability / rest) * computeWaste(fallsIn, given + 1 + step),
      0,
    );
    return bucket.representative + next;
  };
  return buckets.reduce(
    (sum, { probability }, fallsIn) =>
      sum +
      buckets.reduce(
        (inner, other, given) =>
          inner + probability * other.probability * computeWaste(fallsIn, given),
        0,
      ),
    0,
  );
}

/**
 * Computes the buckets of least expected waste: the exhaustive bucketing of Phung and Thain,
 * "Adaptive Task-Oriented Resource Allocation for Large Dynamic Workflows on Opportunistic
 * Resources", with evenly spaced candidate breaks.
 */
export function computeBuckets(lengths: readonly number[]): readonly Bucket[] {
  const records = lengths
    .map((length, index) => ({ length, significance: index + 1 }))
    .sort((left, right) => left.length - right.length);
  const candidates = Array.from({ length: MAX_BUCKETS }, (_, index) =>
    splitEvenly(records, index + 1),
  );
  return candidates.reduce((best, buckets) =>
    computeExpectedWaste(buckets) < computeExpectedWaste(best) ? buckets : best,
  );
}

/**
 * Predicts a length by a bucket drawn by its probability among those above `reserved`; beyond the
 * largest one, twice what was reserved.
 */
export function predictFromBuckets(
  lengths: readonly number[],
  reserved: number,
  draw: number,
): number {
  const buckets = computeBuckets(lengths).filter(({ representative }) => representative > reserved);
  const total = buckets.reduce((sum, { probability }) => sum + probability, 0);
  let rest = draw * total;
  const chosen = buckets.find(({ probability }) => {
    rest -= probability;
    return rest < 0;
  });
  return chosen?.representative ?? reserved * 2;
}
