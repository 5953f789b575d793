/** A map of the newest entries. */
export interface BoundedMap<Value> {
  get(key: string): Value | undefined;
  /** Sets an entry, which is the newest one from now on. */
  set(key: string, value: Value): void;
}

/** Creates a map that forgets its oldest entry when it would hold more than `maxEntries`. */
export const createBoundedMap = <Value>(maxEntries: number): BoundedMap<Value> => {
  const entries = new Map<string, Value>();
  return {
    get: (key) => entries.get(key),
    set: (key, value) => {
      entries.delete(key);
      entries.set(key, value);
      if (entries.size <= maxEntries) return;
      const [oldest = ''] = entries.keys();
      entries.delete(oldest);
    },
  };
};
