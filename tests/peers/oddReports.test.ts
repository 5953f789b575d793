import { toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import { convertNewsToMessage } from '../../src/adapters/connect/convertNewsToMessage';
import { NewsSchema } from '../../src/adapters/connect/gen/peer_pb';
import { parseLoadReport } from '../../src/adapters/engine/_lib/parseLoadReport';
import { convertReportToFacts, type News } from '../../src/domain/membership';

const REPORT = {
  sequence: 1,
  running: 3,
  waiting: 1,
  slots: 8,
  cache_use: 0.5,
  tokens_per_second: 400.5,
  models: [{ model: 'review' }],
  role: 'serve',
  leaving: false,
  fencing_token: 12,
  age_ms: 0.5,
};

const NUMBER_FIELDS = [
  'sequence',
  'running',
  'waiting',
  'slots',
  'cache_use',
  'tokens_per_second',
  'fencing_token',
  'age_ms',
] as const;

const ODD_NUMBERS = [0.5, -1, -0.5, 2 ** 31, 2 ** 32, 2 ** 53, 2 ** 64, 1e300, -1e300, 5e-324];

const buildNews = (facts: News['facts']): News => ({
  sender: {
    vm: 'vm-1',
    peerAddress: '10.0.0.1:7000',
    region: 'r',
    availabilityZone: 'r-1',
    leaving: false,
    incarnation: 1,
  },
  beats: 1,
  sequence: 1,
  since: 0,
  acknowledged: 0,
  configurationVersion: 1,
  newestReadAgeMs: null,
  clockMs: 1,
  echoClockMs: 0,
  brief: false,
  facts,
});

const NOW_MS = 60_000;

const encodeReport = (body: unknown): boolean => {
  const report = parseLoadReport(body, 'e-1', 0);
  if (!report) return false;
  const { load, state } = convertReportToFacts(report, NOW_MS);
  toBinary(NewsSchema, convertNewsToMessage(buildNews([state, load])));
  return true;
};

// Guards against a number of one engine's report that no message can hold: the VMs that read it
// could tell each other nothing more, and a fraction as fencing token ended them.
test('each load report that is accepted can be told to other VMs', (t) => {
  t.true(encodeReport(REPORT));
  fc.assert(
    fc.property(
      fc.constantFrom(...NUMBER_FIELDS),
      fc.oneof(fc.constantFrom(...ODD_NUMBERS), fc.double({ noNaN: true })),
      (field, value) => {
        t.notThrows(() => encodeReport({ ...REPORT, [field]: value }), `${field} ${value}`);
      },
    ),
    { seed: 67, numRuns: 500 },
  );
});
