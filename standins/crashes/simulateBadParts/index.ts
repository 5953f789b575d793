import { createSeededRandomness } from '../../fakes';
import { countLateArrivals } from '../countLateArrivals';
import { simulateCrashes, type CrashSimulation, type SimulatedTraffic } from '../simulateCrashes';

/** Bad streams, each of whose runs crashes its server with a given chance, beside sound ones. */
export interface BadPartSimulation extends Pick<
  CrashSimulation,
  | 'countEvents'
  | 'durationMs'
  | 'eventGapMs'
  | 'eventsBeforeCrash'
  | 'losses'
  | 'prefillMs'
  | 'seed'
  | 'transitMs'
  | 'vms'
> {
  readonly soundPerS: number;
  /** Parts are bad if their names begin with `bad-`. */
  readonly bad: Pick<SimulatedTraffic, 'buildParts' | 'isLastShared' | 'perS'>;
  readonly chance: number;
}

/** What became of the bad parts, and of the sound streams beside them. */
export interface BadPartResult {
  readonly crashed: number;
  /** Arrivals with a bad part long after its fifth crash, the most of any part. */
  readonly later: number;
  /** Share of the sound streams of the second half that ended whole. */
  readonly served: number;
}

const SERVERS = 16;
const BAD_FROM_MS = 2000;

/** Simulates bad and sound streams, in virtual time. */
export const simulateBadParts = async ({
  bad,
  chance,
  durationMs,
  soundPerS,
  ...options
}: BadPartSimulation): Promise<BadPartResult> => {
  const isBadPart = (part: string): boolean => part.startsWith('bad-');
  const randomness = createSeededRandomness(options.seed + 100);
  const result = await simulateCrashes({
    ...options,
    servers: SERVERS,
    durationMs,
    crashes: (parts) => parts.some(isBadPart) && randomness.readFraction() < chance,
    traffic: [
      {
        perS: soundPerS,
        fromMs: 0,
        untilMs: durationMs,
        buildParts: (index) => ['first', `other-${index % 7}`],
      },
      { ...bad, fromMs: BAD_FROM_MS, untilMs: durationMs },
    ],
  });
  const badParts = new Set(result.arrivals.flatMap(({ parts }) => parts.filter(isBadPart)));
  const listTimes = (
    seen: readonly { readonly atMs: number; readonly parts: readonly string[] }[],
    part: string,
  ): readonly number[] => seen.filter(({ parts }) => parts.includes(part)).map(({ atMs }) => atMs);
  const countLater = (part: string): number =>
    countLateArrivals(listTimes(result.requestCrashes, part), listTimes(result.arrivals, part));
  const sound = result.streams.filter(
    ({ atMs, parts }) => !parts.some(isBadPart) && atMs > durationMs / 2,
  );
  return {
    crashed: result.crashedAtMs.length,
    later: Math.max(0, ...[...badParts].map(countLater)),
    served: sound.filter(({ outcome }) => outcome?.isComplete).length / Math.max(1, sound.length),
  };
};
