import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { countCrashedServers } from '.';

const buildCrash = (server: string, atMs: number, requestId = 'r-1') =>
  buildRunOutcome({ server, atMs, requestId, ranMs: 600 });

test('each crashed server counts once, however many outcomes report it', (t) => {
  const crashes = [buildCrash('i-1', 0), buildCrash('i-2', 900, 'r-2'), buildCrash('i-1', 910)];
  t.is(countCrashedServers(crashes), 2);
  t.is(countCrashedServers([]), 0);
});

test('a server that answered does not count', (t) => {
  t.is(countCrashedServers([{ ...buildCrash('i-1', 0), hasCrashed: false }]), 0);
});

test('crashes under one request all count, however quickly they follow each other', (t) => {
  t.is(
    countCrashedServers([buildCrash('i-1', 0), buildCrash('i-2', 40), buildCrash('i-3', 80)]),
    3,
  );
});

test('the loss of a rack during concurrent retries counts as one crash', (t) => {
  const crashes = ['1', '2', '3', '4'].map((n) => buildCrash(`i-${n}`, 10 * Number(n), `r-${n}`));
  t.is(countCrashedServers(crashes), 1);
  t.is(countCrashedServers([...crashes, buildCrash('i-9', 700, 'r-9')]), 2);
});

// Guards against crashes under repeats at several VMs that count as the loss of a rack: three more
// servers crashed, though each run had begun after the crash before.
test('crashes under quick repeats all count, as each run began after the crash before', (t) => {
  const crashes = [0, 110, 230].map((atMs, index) => ({
    ...buildCrash(`i-${index}`, atMs, `r-${index}`),
    ranMs: 70,
  }));
  t.is(countCrashedServers(crashes), 3);
});

// Guards against a quarantine that ends as more servers crash: the groups of crashes that count as
// one were divided anew by each further crash.
test('a further crash never lowers the count', (t) => {
  const crashes = [buildCrash('i-1', 300), buildCrash('i-2', 340), buildCrash('i-3', 560, 'r-2')];
  const more = [...crashes, buildCrash('i-4', 80, 'r-3')];
  t.true(countCrashedServers(more) >= countCrashedServers(crashes));
});
