import { createBoundedMap } from '../../../_lib/createBoundedMap';
import type { Clock, Randomness } from '../../../ports';
import type { SendingTime } from '../../types';

/** Finds out how late messages of other VMs are read. */
export interface TransitTracker {
  /** Builds the sending time of a message that is sent now. */
  buildSendingTime(): SendingTime;
  /**
   * Records a message that is read now; returns how much later it is than the fastest recent message
   * of its sender, in milliseconds; 0 if the sender does not say when it sent it.
   */
  recordMessage(vm: string, sent: SendingTime | null): number;
}

/** Processes of a VM that are told apart. */
const MAX_RUNS = 2 ** 32;

/** Maximum number of senders. */
const MAX_SENDERS = 1000;

/** Time after which the fastest message is forgotten at the latest: clocks drift apart. */
const WINDOW_MS = 60_000;

/**
 * Differences between the clocks of this VM and a sender, which are the smaller the faster a message
 * is: the smallest of this window and of the one before.
 */
interface Differences {
  readonly run: number;
  readonly windowSinceMs: number;
  readonly minMs: number;
  readonly previousMinMs: number;
}

/**
 * Creates the tracker.
 *
 * A message waits where its sender, its receiver or a link is stopped. What it says is older by that
 * time than its ages, which are those at the time of sending.
 */
export const createTransitTracker = ({
  clock,
  randomness,
}: {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly randomness: Pick<Randomness, 'readFraction'>;
}): TransitTracker => {
  const ownRun = Math.floor(randomness.readFraction() * MAX_RUNS);
  const differencesByVm = createBoundedMap<Differences>(MAX_SENDERS);

  const update = (known: Differences | undefined, run: number, ms: number): Differences => {
    const nowMs = clock.readMonotonicMs();
    if (known?.run !== run)
      return { run, windowSinceMs: nowMs, minMs: ms, previousMinMs: Infinity };
    if (nowMs - known.windowSinceMs < WINDOW_MS)
      return { ...known, minMs: Math.min(known.minMs, ms) };
    return { run, windowSinceMs: nowMs, minMs: ms, previousMinMs: known.minMs };
  };

  return {
    buildSendingTime: () => ({ run: ownRun, atMs: clock.readMonotonicMs() }),
    recordMessage: (vm, sent) => {
      if (!sent) return 0;
      const differenceMs = clock.readMonotonicMs() - sent.atMs;
      const differences = update(differencesByVm.get(vm), sent.run, differenceMs);
      differencesByVm.set(vm, differences);
      return differenceMs - Math.min(differences.minMs, differences.previousMinMs);
    },
  };
};
