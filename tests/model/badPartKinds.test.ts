// Simulates prompt parts that crash servers in other ways than under each run before its first event.
import test from 'ava';
import { createSeededRandomness } from '../../standins/fakes';
import {
  simulateCrashes,
  type CrashSimulation,
  type SimulatedTraffic,
} from '../../standins/crashes';

const DURATION_MS = 20_000;
const BAD_FROM_MS = 2000;
const CONTACT_MS = 3000;

/** Crashes under a part after which it may hardly be sent any more. */
const CRASHES = 5;

/** Streams with the part that may still reach servers from then on. */
const MAX_LATER_ARRIVALS = 3;

/** Share of the sound streams to be served once the bad parts are known. */
const MIN_SERVED = 0.9;

const BAD = 'bad-0';

const SOUND: SimulatedTraffic = {
  perS: 8,
  fromMs: 0,
  untilMs: DURATION_MS,
  buildParts: (index) => ['first', `other-${index % 7}`],
};

const buildBad = (traffic: Partial<SimulatedTraffic>): SimulatedTraffic => ({
  perS: 3,
  fromMs: BAD_FROM_MS,
  untilMs: DURATION_MS,
  buildParts: () => ['first', BAD],
  ...traffic,
});

const isBadPart = (part: string): boolean => part.startsWith('bad-');

/** What became of the bad parts, and of the sound streams beside them. */
interface KindResult {
  readonly crashed: number;
  /** Arrivals with a bad part long after its fifth crash, the most of any part. */
  readonly later: number;
  /** Share of the sound streams of the second half that ended whole. */
  readonly served: number;
}

/** Simulates streams with bad parts, each of whose runs crashes its server with a given chance. */
const simulateKind = async (
  traffic: Partial<SimulatedTraffic>,
  options: Partial<CrashSimulation> = {},
  chance = 1,
): Promise<KindResult> => {
  const { seed = 1 } = options;
  const randomness = createSeededRandomness(seed + 100);
  const result = await simulateCrashes({
    seed,
    vms: 4,
    servers: 16,
    durationMs: DURATION_MS,
    crashes: (parts) => parts.some(isBadPart) && randomness.readFraction() < chance,
    traffic: [SOUND, buildBad(traffic)],
    ...options,
  });
  const badParts = new Set(result.arrivals.flatMap(({ parts }) => parts.filter(isBadPart)));
  const countLater = (part: string): number => {
    const crashes = result.requestCrashes.filter(({ parts }) => parts.includes(part));
    const fromMs = (crashes[CRASHES - 1]?.atMs ?? Infinity) + CONTACT_MS;
    return result.arrivals.filter(({ atMs, parts }) => parts.includes(part) && atMs > fromMs)
      .length;
  };
  const sound = result.streams.filter(
    ({ atMs, parts }) => !parts.some(isBadPart) && atMs > DURATION_MS / 2,
  );
  return {
    crashed: result.crashedAtMs.length,
    later: Math.max(0, ...[...badParts].map(countLater)),
    served: sound.filter(({ outcome }) => outcome?.isComplete).length / Math.max(1, sound.length),
  };
};

const EVENTS_BEFORE = [1, 3];

EVENTS_BEFORE.forEach((eventsBeforeCrash) => {
  test(`a part that crashes servers after event ${eventsBeforeCrash} is hardly sent after contact time`, async (t) => {
    const result = await simulateKind({}, { eventsBeforeCrash });
    t.log(result);
    t.true(result.later <= MAX_LATER_ARRIVALS, `${result.later} streams`);
    t.true(result.served >= MIN_SERVED, `${result.served} served`);
  });
});

const LAST_PARTS: readonly (readonly [string, Partial<SimulatedTraffic>])[] = [
  ['the last one, after a shared one', { isLastShared: true }],
  ['the only one', { isLastShared: true, buildParts: () => [BAD] }],
];

LAST_PARTS.forEach(([name, traffic]) => {
  test(`a part that crashes servers and is ${name}, is hardly sent after contact time`, async (t) => {
    const result = await simulateKind(traffic);
    t.log(result);
    t.true(result.later <= MAX_LATER_ARRIVALS, `${result.later} streams`);
    t.true(result.served >= MIN_SERVED, `${result.served} served`);
  });
});

const CHANCES = [0.8, 0.5, 0.3];

CHANCES.forEach((chance) => {
  test(`a part that crashes servers in ${chance} of its runs is hardly sent after contact time`, async (t) => {
    for (const seed of [1, 2]) {
      const result = await simulateKind({}, { seed }, chance);
      t.log({ seed, ...result });
      t.true(result.later <= MAX_LATER_ARRIVALS, `${result.later} streams`);
      t.true(result.served >= MIN_SERVED, `${result.served} served`);
    }
  });
});

test('eight parts that crash servers at the same time are each hardly sent after contact time', async (t) => {
  for (const seed of [1, 2]) {
    const buildParts = (index: number): readonly string[] => ['first', `bad-${index % 8}`];
    const result = await simulateKind({ perS: 8, buildParts }, { seed });
    t.log({ seed, ...result });
    t.true(result.later <= MAX_LATER_ARRIVALS, `${result.later} streams`);
    t.true(result.served >= MIN_SERVED, `${result.served} served`);
  }
});
