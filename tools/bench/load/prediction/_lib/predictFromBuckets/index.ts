/** A bucket of lengths, as in the paper cited at `computeBuckets`. */
export interface Bucket {
  /** Largest length in the bucket; reserved if the bucket is chosen. */
  readonly representative: number;
  /** Mean length in the bucket, weighted by significance. */
  readonly mean: number;
  /** Share of the bucket in the total significance, 0 to 1. */
  readonly probability: number;
}

/** Largest number of buckets tried, as in the paper's evaluation. */
const MAX_BUCKETS = 10;

interface WeightedLength {
  readonly length: number;
  /** Weight, larger for newer lengths: the paper uses the number of the task. */
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

/** Splits sorted records at evenly spaced values; omits empty buckets. */
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

/** Computes the expected waste over all pairs of a length's bucket and the first reserved one. */
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
 * Predicts a length: draws a bucket by its probability among those above `reserved`, or doubles
 * `reserved` if none is above it.
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
