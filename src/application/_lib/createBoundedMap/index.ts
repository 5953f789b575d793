/** Map with a maximum number of entries. */
export interface BoundedMap<Value> {
  get(key: string): Value | undefined;
  /** Sets an entry and makes it the newest one. */
  set(key: string, value: Value): void;
  delete(key: string): void;
}

/** Creates a map that evicts its oldest entry when it exceeds `maxEntries`. */
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
    delete: (key) => {
      entries.delete(key);
    },
  };
};
