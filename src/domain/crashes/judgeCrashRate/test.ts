import fc from 'fast-check';
import test from 'ava';
import { createSeededRandomness } from '../../../../standins/fakes';
import { judgeCrashRate } from '.';

const SOUND_FLEET = { otherCrashes: 0, otherAnswers: 60 };

test('a part under which some of the runs crash servers is responsible if others hardly do', (t) => {
  t.true(judgeCrashRate({ crashes: 5, answers: 5, ...SOUND_FLEET }));
  t.true(judgeCrashRate({ crashes: 6, answers: 14, ...SOUND_FLEET }));
  t.false(judgeCrashRate({ crashes: 2, answers: 0, ...SOUND_FLEET }));
  t.false(judgeCrashRate({ crashes: 3, answers: 20, ...SOUND_FLEET }));
});

// Guards against parts that crash few of their runs, and were never found.
test('a part under which a tenth of the runs crash servers is found among many other runs', (t) => {
  t.true(judgeCrashRate({ crashes: 5, answers: 45, otherCrashes: 0, otherAnswers: 300 }));
  t.false(judgeCrashRate({ crashes: 5, answers: 45, otherCrashes: 6, otherAnswers: 300 }));
});

// Guards against a quarantine that one answer, or the crash of another server, ends.
test('a part that is held responsible stays so until its share of crashes is near that of others', (t) => {
  const evidence = { crashes: 5, answers: 5, otherCrashes: 0, otherAnswers: 60 };
  const later = { ...evidence, answers: 16, otherCrashes: 3, otherAnswers: 90 };
  t.false(judgeCrashRate(later));
  t.true(judgeCrashRate(later, { isHeld: true }));
  t.false(judgeCrashRate({ ...later, otherCrashes: 12 }, { isHeld: true }));
  // A VM that has just started knows of no other runs.
  t.true(judgeCrashRate({ ...later, otherCrashes: 0, otherAnswers: 3 }, { isHeld: true }));
});

test('a part is not responsible if servers crash as often without it', (t) => {
  t.false(judgeCrashRate({ crashes: 6, answers: 14, otherCrashes: 30, otherAnswers: 70 }));
});

test('few crashes prove little if there are no other runs to compare with', (t) => {
  const unknown = { otherCrashes: 0, otherAnswers: 0 };
  t.false(judgeCrashRate({ crashes: 0, answers: 0, ...unknown }));
  t.false(judgeCrashRate({ crashes: 8, answers: 8, ...unknown }));
});

// Guards against servers that became worse a moment ago, after a long time without a crash.
test('a long sound time before does not hide the crashes of others', (t) => {
  t.false(judgeCrashRate({ crashes: 4, answers: 4, otherCrashes: 10, otherAnswers: 10_000 }));
});

test('an answer never makes a sound part responsible, and another crash elsewhere neither', (t) => {
  const count = fc.nat(60);
  fc.assert(
    fc.property(count, count, count, count, (crashes, answers, otherCrashes, otherAnswers) => {
      const evidence = { crashes, answers, otherCrashes, otherAnswers };
      if (judgeCrashRate(evidence)) return true;
      return (
        !judgeCrashRate({ ...evidence, answers: answers + 1 }) &&
        !judgeCrashRate({ ...evidence, otherCrashes: otherCrashes + 1 })
      );
    }),
  );
  t.pass();
});

/** Draws runs of a part and finds after how many it is held responsible; null after `most`. */
const countRunsToVerdict = (seed: number, chance: number, most: number): number | null => {
  const randomness = createSeededRandomness(seed);
  let crashes = 0;
  for (let runs = 1; runs <= most; runs += 1) {
    if (randomness.readFraction() < chance) crashes += 1;
    if (crashes >= 3 && judgeCrashRate({ crashes, answers: runs - crashes, ...SOUND_FLEET }))
      return runs;
  }
  return null;
};

// Guards against sound parts that are refused because their runs are judged again and again.
test('of a thousand sound parts hardly any is held responsible within 200 runs', (t) => {
  const verdicts = Array.from({ length: 1000 }, (_, seed) => countRunsToVerdict(seed, 0.02, 200));
  const wrong = verdicts.filter((runs) => runs !== null).length;
  t.log({ wrong });
  t.true(wrong <= 5, `${wrong} of 1000`);
});

test('a part that crashes servers in three of ten runs is found within a few crashes', (t) => {
  const verdicts = Array.from({ length: 200 }, (_, seed) => countRunsToVerdict(seed, 0.3, 100));
  t.true(verdicts.every((runs) => runs !== null));
  const sorted = verdicts.map((runs) => runs ?? Infinity).sort((left, right) => left - right);
  t.log({ median: sorted[100], most: sorted.at(-1) });
  t.true((sorted[100] ?? Infinity) <= 25);
});
