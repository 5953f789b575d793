import { fromBinary, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import { buildRunOutcome } from '../../../../../standins/fakes';
import type { Knowledge } from '../../../../application/gossip';
import { KnowledgeSchema } from '../../gen/gateway_pb';
import { buildKnowledgeMessage, readKnowledgeMessage } from '.';

const { atMs, ...outcome } = buildRunOutcome({ ranMs: 4000, isConfirmed: true });

const KNOWLEDGE: Knowledge = {
  sender: { vm: 'vm-1', address: '10.0.0.1:1', availabilityZone: 'z1', cores: 0.25, ageMs: 0 },
  sent: null,
  members: [],
  isMembersAsked: false,
  heard: new Map(),
  versions: new Map(),
  changes: [],
  suspicions: [],
  inferred: [],
  outcomes: [],
  outcomesDigest: 0,
  tallies: [],
  verdicts: [],
  limits: [],
};

const sendKnowledge = (knowledge: Knowledge): Knowledge | null =>
  readKnowledgeMessage(
    fromBinary(KnowledgeSchema, toBinary(KnowledgeSchema, buildKnowledgeMessage(knowledge))),
  );

test('outcomes arrive as they were sent, late and judged ones as such', (t) => {
  const plain = { ...outcome, ageMs: 20 };
  const outcomes = [
    plain,
    { ...plain, isLate: true, parts: ['part-a'] },
    { ...plain, isJudged: true },
  ];
  t.deepEqual(sendKnowledge({ ...KNOWLEDGE, outcomes })?.outcomes, outcomes);
});

test('counts and times of runs arrive rounded to milliseconds', (t) => {
  const runs = { runs: 3, otherRuns: 40, runMs: 1200.4, otherRunMs: 90_000 };
  const tally = { part: 'part-a', ageMs: 800, runsByVm: new Map([[7, runs]]) };
  t.deepEqual(sendKnowledge({ ...KNOWLEDGE, tallies: [tally] })?.tallies, [
    { ...tally, runsByVm: new Map([[7, { ...runs, runMs: 1200 }]]) },
  ]);
});
