/**
 * Runs an action for each item, at most `limit` at a time, so that a push to a large region does
 * not start hundreds of calls at once.
 */
export async function runLimited<T>(
  items: readonly T[],
  limit: number,
  action: (item: T) => Promise<void>,
): Promise<void> {
  const queue = [...items];
  const runWorker = async (): Promise<void> => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) {
      await action(item);
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runWorker));
}
