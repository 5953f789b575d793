// Guards against a request that goes on to crash servers where the end of an attempt is no evidence:
// on one way to a server, or where the end is seen in one way and not in another.
import test from 'ava';
import { simulateRepeats, type RepeatSimulation, type ServerFault } from '../../standins/crashes';

/** Servers that the request may crash before it is held back everywhere. */
const CRASHES = 3;

/** Time from the third crash until all VMs must know. */
const CONTACT_MS = 3000;

/** Times that the request may still reach servers from then on. */
const MAX_LATER_ARRIVALS = 3;

/** Sound requests beside it lose servers, but are sent on. */
const MIN_SOUND_SHARE = 0.9;

/** How requests reach servers. */
const SENDS: Readonly<Record<string, Partial<RepeatSimulation>>> = {
  call: { kind: 'call' },
  stream: { kind: 'stream' },
  'resumed stream': { kind: 'stream', lastEventId: 3 },
  'scheduled stream': { kind: 'stream', isScheduled: true },
};

/** Servers to which one attempt of a caller may be sent: without and with retries. */
const MAX_ATTEMPTS = [1, 5];

const HOWS: readonly ServerFault['how'][] = ['reset', 'closed', 'dark'];

const listFaults = (kind: RepeatSimulation['kind']): readonly ServerFault[] => {
  const stages: readonly ServerFault['progress'][] =
    kind === 'stream' ? ['none', 'head', 'events'] : ['none', 'head'];
  return HOWS.flatMap((how) => stages.map((progress) => ({ how, progress })));
};

/** Ways in which the end of an attempt is seen. A response without framing differs if it is closed. */
const listEnds = (kind: RepeatSimulation['kind']): readonly Partial<RepeatSimulation>[] => [
  ...listFaults(kind).map((fault) => ({ fault })),
  ...listFaults(kind)
    .filter(({ how, progress }) => how === 'closed' && progress !== 'none')
    .map((fault) => ({ fault, isFramed: false })),
];

const format = (simulation: RepeatSimulation): string => {
  const { fault, isFramed, isRelayed, losesRelays, maxAttempts, patienceMs, repeatGapMs } =
    simulation;
  return [
    `${maxAttempts} attempts, ${isRelayed ? 'relayed' : 'direct'}, ${fault.how} after ${fault.progress}`,
    ...(isFramed ? [] : ['unframed']),
    ...(losesRelays ? ['relay lost'] : []),
    ...(patienceMs === undefined ? [] : ['caller leaves']),
    ...(repeatGapMs === undefined ? [] : [`each ${repeatGapMs} ms`]),
  ].join(', ');
};

const judge = async (simulation: RepeatSimulation): Promise<string | null> => {
  const result = await simulateRepeats(simulation);
  const thirdMs = result.crashedAtMs[CRASHES - 1] ?? Infinity;
  const later = result.arrivedAtMs.filter((atMs) => atMs > thirdMs + CONTACT_MS).length;
  const soundShare = result.soundAnswered / result.sound;
  if (result.crashedAtMs.length === 0) return `${format(simulation)}: no server crashed`;
  return later <= MAX_LATER_ARRIVALS && soundShare >= MIN_SOUND_SHARE
    ? null
    : `${format(simulation)}: ${later} later arrivals, ${result.crashedAtMs.length} crashes, ${soundShare.toFixed(2)} of sound requests answered`;
};

const QUICK_GAP_MS = 60;

Object.entries(SENDS).forEach(([name, send]) => {
  test(`a ${name} that crashes servers is held back, however its end is seen`, async (t) => {
    const base = { seed: 1, isFramed: true, isRelayed: false, ...send } as RepeatSimulation;
    const reset = { how: 'reset', progress: 'none' } as const;
    const ends: readonly Partial<RepeatSimulation>[] = [
      ...listEnds(base.kind),
      { fault: { how: 'dark', progress: 'none' }, patienceMs: 250 },
      { fault: reset, repeatGapMs: QUICK_GAP_MS },
    ];
    const relayed = [...ends, { fault: reset, losesRelays: true }];
    const cells = [...ends, ...relayed.map((end) => ({ ...end, isRelayed: true }))];
    const failed: string[] = [];
    for (const maxAttempts of MAX_ATTEMPTS) {
      for (const cell of cells) {
        const problem = await judge({ ...base, ...cell, maxAttempts });
        if (problem !== null) failed.push(problem);
      }
    }
    t.deepEqual(failed, []);
  });
});
