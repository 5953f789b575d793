import test from 'ava';
import { judgeCrashPresence } from '.';

const fill = (count: number, runs: number): readonly number[] => Array<number>(count).fill(runs);

test('a part that few runs have is no coincidence on several crashed servers', (t) => {
  t.true(judgeCrashPresence({ runsWith: fill(4, 2), runsWithout: [], share: 0.1 }));
  t.true(judgeCrashPresence({ runsWith: fill(5, 3), runsWithout: fill(2, 3), share: 0.02 }));
});

// Guards against common sound parts that are held responsible for servers that crash by themselves.
test('a part that many runs have is expected on servers that crash by themselves', (t) => {
  t.false(judgeCrashPresence({ runsWith: fill(12, 5), runsWithout: [], share: 0.3 }));
  t.false(judgeCrashPresence({ runsWith: fill(100, 5), runsWithout: [], share: 1 }));
  t.false(judgeCrashPresence({ runsWith: fill(5, 5), runsWithout: fill(10, 5), share: 0.1 }));
});

test('a part on fewer crashed servers than expected, or on none, is not suspected', (t) => {
  t.false(judgeCrashPresence({ runsWith: fill(1, 5), runsWithout: fill(9, 5), share: 0.3 }));
  t.false(judgeCrashPresence({ runsWith: [], runsWithout: fill(9, 5), share: 0.3 }));
  t.false(judgeCrashPresence({ runsWith: [], runsWithout: [], share: 0.3 }));
});
