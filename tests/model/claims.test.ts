// Explores every interleaving of two VMs that claim the same key, with lost answers, lost or
// delayed writes, pauses of a VM, and a row that the platform removes. The search must also find
// each seeded fault, which shows that it can detect a violation.
import test from 'ava';
import { CLAIM_RULES, createClaimModel, type ClaimRules } from './_lib/createClaimModel';
import { findViolation } from './_lib/findViolation';

const BOUNDS = { faults: 3, removals: 1 };

test('no interleaving grants a claim twice or lets a replaced holder write', (t) => {
  const { states, violation } = findViolation(createClaimModel(CLAIM_RULES, BOUNDS));
  t.is(violation, null);
  t.log(`${states} states`);
  t.true(states > 1000);
});

const FAULTY_RULES: readonly (readonly [string, Partial<ClaimRules>])[] = [
  [
    'a lost answer is treated as a grant',
    {
      chooseAcquireStep: (sent, reply, nowS) =>
        reply.kind === 'unknown'
          ? { kind: 'done', row: sent }
          : CLAIM_RULES.chooseAcquireStep(sent, reply, nowS),
    },
  ],
  [
    'an update does not compare claim ids',
    {
      chooseUpdateStep: (sent, change, reply) => {
        const row = reply.kind === 'current' ? (reply.row?.row ?? sent) : sent;
        const unchecked = { ...sent, claimId: row.claimId };
        return CLAIM_RULES.chooseUpdateStep(unchecked, change, reply);
      },
    },
  ],
  [
    'both VMs use the same first revision',
    {
      revisions: [
        { claim: 1, takeOver: 1000 },
        { claim: 1, takeOver: 2000 },
      ],
    },
  ],
  [
    'a takeover increments the revision by one',
    {
      revisions: [
        { claim: 100, takeOver: 1 },
        { claim: 200, takeOver: 1 },
      ],
    },
  ],
];

FAULTY_RULES.forEach(([name, rules]) => {
  test(`finds a seeded fault: ${name}`, (t) => {
    const { violation } = findViolation(createClaimModel({ ...CLAIM_RULES, ...rules }, BOUNDS));
    t.truthy(violation);
    t.log(`${violation?.reason}, after ${violation?.path.length} steps`);
  });
});
