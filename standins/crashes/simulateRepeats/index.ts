import type { Forwarder } from '../../../src/application/forwarding';
import { createSeededRandomness } from '../../fakes';
import { createRepeatWorld, REPEATED_TARGET } from '../createRepeatWorld';
import { sendRepeat } from '../sendRepeat';
import type { RepeatOutcome, RepeatResult, RepeatSimulation } from '../types';

const DURATION_MS = 14_400;
const REPEAT_GAP_MS = 300;
const SOUND_GAP_MS = 70;

/** VMs know each other, and those without links have found relays, before the first repeat. */
const SETTLE_MS = 5000;
const TAIL_MS = 8000;

/** Simulates VMs that get one request again and again, beside sound requests. */
export const simulateRepeats = async (simulation: RepeatSimulation): Promise<RepeatResult> => {
  const { events = [], isRelayed, kind, repeatGapMs = REPEAT_GAP_MS } = simulation;
  const { lastEventId = null, patienceMs = Infinity } = simulation;
  const randomness = createSeededRandomness(simulation.seed);
  const world = createRepeatWorld(simulation);
  const { clock, cutVms, forwarders, servers } = world;
  const all = [...forwarders.values()];
  // The links of a VM may be cut later on: the VMs that get the request stay the same.
  const asked = isRelayed ? [...cutVms].flatMap((vm) => forwarders.get(vm) ?? []) : all;
  const pick = (from: readonly Forwarder[], index: number): Forwarder =>
    from[index % from.length] as Forwarder;
  const repeats: RepeatOutcome[] = [];
  const sound: RepeatOutcome[] = [];
  const soundCount = Math.round((SETTLE_MS + DURATION_MS) / SOUND_GAP_MS);
  const startSound = (index: number): void => {
    clock.startTimer(index * SOUND_GAP_MS, async () => {
      const target = `/${index % 2 === 0 ? 'call' : 'stream'}/sound-${index}`;
      const forwarder = pick(all, Math.floor(randomness.readFraction() * all.length));
      const own = { id: `sound-${index}`, target, lastEventId: null, patienceMs: Infinity };
      sound.push(await sendRepeat(clock, forwarder, own));
    });
  };
  const startRepeat = (index: number): void => {
    clock.startTimer(SETTLE_MS + index * repeatGapMs, async () => {
      const id = `repeat-${index}`;
      const repeat = { id, target: `/${kind}/${REPEATED_TARGET}`, lastEventId, patienceMs };
      repeats.push(await sendRepeat(clock, pick(asked, index), repeat));
    });
  };
  Array.from({ length: soundCount }, (_, index) => index).forEach(startSound);
  const repeatCount = Math.round(DURATION_MS / repeatGapMs);
  Array.from({ length: repeatCount }, (_, index) => index).forEach(startRepeat);
  events.forEach(({ atMs, run }) => clock.startTimer(SETTLE_MS + atMs, () => run(world)));
  await clock.advanceAsync(SETTLE_MS + DURATION_MS + TAIL_MS);
  world.stop();
  const shift = (atMs: number): number => atMs - SETTLE_MS;
  return {
    arrivedAtMs: servers.arrivedAtMs.map(shift),
    crashedAtMs: servers.crashedAtMs.map(shift),
    repeats: repeats.map((one) => ({ ...one, atMs: shift(one.atMs) })),
    sound: soundCount,
    soundAnswered: sound.filter(({ outcome }) => outcome === 'answered').length,
  };
};
