/** Append-only typed array. */
export interface GrowingArray<T extends Uint32Array | Uint8Array> {
  append(values: ArrayLike<number>): void;
  read(index: number): number;
  readLength(): number;
  /** Returns a view of a range; valid until the next append. */
  slice(from: number, to: number): T;
}

const INITIAL_CAPACITY = 64;
const GROWTH_FACTOR = 1.5;

/**
 * Creates an empty growing array.
 *
 * @param allocate - Allocates storage of the wanted type and length.
 * @returns Array that grows by half of its size when it is full.
 */
export const createGrowingArray = <T extends Uint32Array | Uint8Array>(
  allocate: (length: number) => T,
): GrowingArray<T> => {
  let storage = allocate(INITIAL_CAPACITY);
  let length = 0;

  const reserve = (wanted: number): void => {
    if (wanted <= storage.length) return;
    const grown = allocate(Math.max(wanted, Math.ceil(storage.length * GROWTH_FACTOR)));
    grown.set(storage);
    storage = grown;
  };

  return {
    append: (values) => {
      reserve(length + values.length);
      storage.set(values, length);
      length += values.length;
    },
    read: (index) => storage[index] ?? 0,
    readLength: () => length,
    slice: (from, to) => storage.subarray(from, to) as T,
  };
};
