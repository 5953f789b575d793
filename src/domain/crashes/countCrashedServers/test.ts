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

// Guards against three copies of one stream that crash their servers a moment apart and count as
// the loss of a rack: five more servers crashed.
test('copies of one request crash servers at different moments, a rack is lost at one', (t) => {
  const copies = [0, 39, 112].map((atMs, index) => buildCrash(`i-${index}`, atMs, `r-${index}`));
  t.is(countCrashedServers(copies), 3);
  const ofPart = copies.map((crash) => ({ ...crash, fingerprint: 'part-a' }));
  t.is(countCrashedServers(ofPart), 1);
});

test('of the copies of a request on one server, the one that began last tells crashes apart', (t) => {
  const first = { ...buildCrash('i-1', 0), ranMs: 50 };
  const second = { ...buildCrash('i-2', 20, 'r-2'), ranMs: 60 };
  const copy = { ...buildCrash('i-2', 20, 'r-3'), ranMs: 10 };
  t.is(countCrashedServers([first, second]), 1);
  t.is(countCrashedServers([first, second, copy]), 2);
});

// Guards against a quarantine that ends as more servers crash: the groups of crashes that count as
// one were divided anew by each further crash.
test('a further crash never lowers the count', (t) => {
  const crashes = [buildCrash('i-1', 300), buildCrash('i-2', 340), buildCrash('i-3', 560, 'r-2')];
  const more = [...crashes, buildCrash('i-4', 80, 'r-3')];
  t.true(countCrashedServers(more) >= countCrashedServers(crashes));
});
