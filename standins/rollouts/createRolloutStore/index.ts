import { err, ok } from 'neverthrow';
import type { Clock, RowWrites, SharedRow } from '../../../src/application/ports';

const CALL_MS = 3;

/** Higher than the versions of all rollout orders. */
const FIRST_VERSION = 10;

const UNAVAILABLE = { kind: 'unavailable', reason: 'away' } as const;

/** Creates a store of rows in virtual time, whose calls fail while it is unavailable. */
export const createRolloutStore = (
  clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>,
  isUnavailable: () => boolean,
) => {
  const rows = new Map<string, SharedRow>();
  let version = FIRST_VERSION;
  let calls = 0;
  const receiveCall = async (): Promise<boolean> => {
    calls += 1;
    await new Promise<void>((resolve) => {
      clock.startTimer(CALL_MS, resolve);
    });
    return !isUnavailable();
  };
  return {
    countCalls: () => calls,
    find: (key: string) => rows.get(key) ?? null,
    readRows: async () =>
      (await receiveCall())
        ? ok({ rows: [...rows.values()], version, storeMs: clock.readMonotonicMs() })
        : err(UNAVAILABLE),
    changeRows: async ({ expected = [], writes }: RowWrites) => {
      const isAnswered = await receiveCall();
      const isMet = expected.every((one) => (rows.get(one.key)?.version ?? 0) === one.version);
      if (!isAnswered || !isMet) return err(UNAVAILABLE);
      version += 1;
      writes.forEach(({ key, value }) => rows.set(key, { key, value, version }));
      return ok(null);
    },
  };
};
