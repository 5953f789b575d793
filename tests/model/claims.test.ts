// Every order of the steps of two VMs that claim one key, with writes whose answer is lost, writes
// that are lost or arrive late, pauses anywhere (a VM that does not move), and a row that the
// platform removes. Each seeded fault must be found, else the search shows nothing.
import test from 'ava';
import { CLAIM_RULES, createClaimModel, type ClaimRules } from './_lib/createClaimModel';
import { findViolation } from './_lib/findViolation';

const BOUNDS = { faults: 3, removals: 1 };

test('no order of steps gives two grants, or lets a replaced holder write', (t) => {
  const { states, violation } = findViolation(createClaimModel(CLAIM_RULES, BOUNDS));
  t.is(violation, null);
  t.log(`${states} states`);
  t.true(states > 1000);
});

const SEEDED: readonly (readonly [string, Partial<ClaimRules>])[] = [
  [
    'a lost answer taken for a grant',
    {
      chooseAcquireStep: (sent, reply, nowS) =>
        reply.kind === 'unknown'
          ? { kind: 'done', row: sent }
          : CLAIM_RULES.chooseAcquireStep(sent, reply, nowS),
    },
  ],
  [
    'an update that does not compare claim ids',
    {
      chooseUpdateStep: (sent, change, reply) => {
        const row = reply.kind === 'current' ? (reply.row?.row ?? sent) : sent;
        const blind = { ...sent, claimId: row.claimId };
        return CLAIM_RULES.chooseUpdateStep(blind, change, reply);
      },
    },
  ],
  [
    'first revisions alike',
    {
      revisions: [
        { claim: 1, takeOver: 1000 },
        { claim: 1, takeOver: 2000 },
      ],
    },
  ],
  [
    'a takeover that counts on by one',
    {
      revisions: [
        { claim: 100, takeOver: 1 },
        { claim: 200, takeOver: 1 },
      ],
    },
  ],
];

SEEDED.forEach(([name, rules]) => {
  test(`finds a seeded fault: ${name}`, (t) => {
    const { violation } = findViolation(createClaimModel({ ...CLAIM_RULES, ...rules }, BOUNDS));
    t.truthy(violation);
    t.log(`${violation?.reason}, after ${violation?.path.length} steps`);
  });
});
