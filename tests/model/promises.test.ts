// Guards against a promise that a request has not run, and against a second run of a request that must
// not be repeated, whatever happens while it waits, and in whatever order.
import test from 'ava';
import { RouteKind } from '../../src/domain/forwarding';
import { EVENTS, PHASES, playRequestEvents } from './_lib/playRequestEvents';

const NAMES = Object.keys(EVENTS);

const PAIRS = NAMES.flatMap((first) =>
  NAMES.filter((second) => second !== first).map((second) => [first, second]),
);

/** Turns of the queue of microtasks between two events. */
const GAPS = [0, 1, 3, 6];

for (const kind of [RouteKind.Once, RouteKind.Stream]) {
  test(`no request that may have run is promised not to have: ${kind}`, async (t) => {
    const problems: string[] = [];
    const phases = PHASES.filter((one) => one !== 'placement' || kind === RouteKind.Stream);
    for (const phase of phases) {
      for (const events of [[], ...NAMES.map((name) => [name])])
        problems.push((await playRequestEvents(kind, phase, events)) ?? '');
      for (const gap of GAPS)
        for (const pair of PAIRS)
          problems.push((await playRequestEvents(kind, phase, pair, gap)) ?? '');
    }
    t.deepEqual(
      problems.filter((problem) => problem !== ''),
      [],
    );
  });
}
