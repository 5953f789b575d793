import {
  buildClaim,
  buildTakeoverClaim,
  chooseAcquireStep,
  chooseTakeoverStep,
  chooseUpdateStep,
  type ClaimReply,
  type ClaimStep,
} from '../../../../src/domain/claim';
import type { ClaimRow } from '../../../../src/domain/types';
import type { Model } from '../findViolation';

/** Random first revisions that a VM uses for its claim and for its takeover. */
export interface ActorRevisions {
  readonly claim: number;
  readonly takeOver: number;
}

/** The rules under test; a test may replace one by a faulty one. */
export interface ClaimRules {
  readonly chooseAcquireStep: typeof chooseAcquireStep;
  readonly chooseTakeoverStep: typeof chooseTakeoverStep;
  readonly chooseUpdateStep: typeof chooseUpdateStep;
  /** First revisions of the two VMs. */
  readonly revisions: readonly [ActorRevisions, ActorRevisions];
}

/** The rules that the gateway uses. */
export const CLAIM_RULES: ClaimRules = {
  chooseAcquireStep,
  chooseTakeoverStep,
  chooseUpdateStep,
  revisions: [
    { claim: 100, takeOver: 1000 },
    { claim: 200, takeOver: 2000 },
  ],
};

type Write = Extract<ClaimStep, { kind: 'write' }>;
type Phase = 'acquire' | 'take-over' | 'update' | 'ended';

/** One VM: claims the key, takes over a claim that it finds held, then updates the claim. */
interface Actor {
  readonly phase: Phase;
  readonly claim: ClaimRow;
  readonly takeOverRevision: number;
  readonly seen: ClaimRow | null;
  readonly holder: string | null;
  readonly sent: ClaimRow;
  readonly step: ClaimStep;
}

/** A write, with the claim id of the holder that sent it as an update; null for other writes. */
interface SentWrite {
  readonly write: Write;
  readonly holder: string | null;
}

/** State of the model: the claim's row, delayed writes, and two VMs. */
export interface ClaimWorld {
  readonly row: ClaimRow | null;
  readonly delayed: readonly SentWrite[];
  readonly actors: readonly [Actor, Actor];
  readonly grantCount: number;
  readonly faultsLeft: number;
  readonly removalsLeft: number;
  readonly violation: string | null;
}

const UPDATE = { attempt: 1 };

const buildReply = (row: ClaimRow | null): ClaimReply => ({
  kind: 'current',
  row: row === null ? null : { row, expiresAtS: 0 },
});

/** Applies a conditional write. An update by a holder must only change the holder's own claim. */
function applyWrite(world: ClaimWorld, { write, holder }: SentWrite): ClaimWorld {
  const { row } = world;
  if ((row?.revision ?? null) !== write.expectedRevision) return world;
  const isForeign = holder !== null && row?.claimId !== holder;
  const violation = isForeign ? 'a replaced holder changed the row' : world.violation;
  return { ...world, row: write.row, violation };
}

function startUpdate(actor: Actor, row: ClaimRow): Actor {
  const sent = { ...row, ...UPDATE, revision: row.revision + 1 };
  const step: ClaimStep = { kind: 'write', row: sent, expectedRevision: row.revision };
  return { ...actor, phase: 'update', holder: row.claimId, sent, step };
}

function startTakeOver(actor: Actor, seen: ClaimRow): Actor {
  const { claimId, vm, peerAddress } = actor.claim;
  const seed = { claimId: `${claimId}-over`, vm, peerAddress, revision: actor.takeOverRevision };
  const sent = buildTakeoverClaim(seen, seed);
  const step: ClaimStep = { kind: 'write', row: sent, expectedRevision: seen.revision };
  return { ...actor, phase: 'take-over', seen, sent, step };
}

/** Starts the next operation of an actor whose operation has ended. */
function startNextOperation(actor: Actor, step: ClaimStep): Actor {
  const ended: Actor = { ...actor, phase: 'ended', step };
  if (step.kind === 'done') return actor.phase === 'update' ? ended : startUpdate(actor, step.row);
  const isHeld = actor.phase === 'acquire' && step.kind === 'lost' && step.row !== null;
  return isHeld ? startTakeOver(actor, step.row) : ended;
}

/** Creates the model of two VMs that claim the same key. */
export function createClaimModel(
  rules: ClaimRules,
  bounds: { readonly faults: number; readonly removals: number },
): Model<ClaimWorld> {
  const chooseStep: Record<Phase, (actor: Actor, reply: ClaimReply) => ClaimStep> = {
    acquire: ({ sent }, reply) => rules.chooseAcquireStep(sent, reply, 0),
    'take-over': ({ seen, sent }, reply) => rules.chooseTakeoverStep(seen ?? sent, sent, reply),
    update: ({ sent }, reply) => rules.chooseUpdateStep(sent, UPDATE, reply),
    ended: ({ step }) => step,
  };

  const handleReply = (world: ClaimWorld, index: number, reply: ClaimReply): ClaimWorld => {
    const actor = world.actors[index] as Actor;
    const step = chooseStep[actor.phase](actor, reply);
    const sent = step.kind === 'write' ? step.row : actor.sent;
    const ended = step.kind === 'done' || step.kind === 'lost';
    const next = ended ? startNextOperation(actor, step) : { ...actor, step, sent };
    const isGrant = actor.phase === 'acquire' && step.kind === 'done';
    return {
      ...world,
      actors: world.actors.map((other, n) => (n === index ? next : other)) as [Actor, Actor],
      grantCount: world.grantCount + (isGrant ? 1 : 0),
    };
  };

  const listWriteOutcomes = (world: ClaimWorld, index: number, write: Write): ClaimWorld[] => {
    const { holder } = world.actors[index] as Actor;
    const applied = applyWrite(world, { write, holder });
    const reply: ClaimReply = applied === world ? buildReply(world.row) : { kind: 'written' };
    const answered = handleReply(applied, index, reply);
    if (world.faultsLeft === 0) return [answered];
    const faultsLeft = world.faultsLeft - 1;
    const delayed = [...world.delayed, { write, holder }];
    const unknown: ClaimReply = { kind: 'unknown' };
    return [
      answered,
      handleReply({ ...applied, faultsLeft }, index, unknown),
      // The write is lost, or applied later.
      handleReply({ ...world, faultsLeft, delayed }, index, unknown),
    ];
  };

  const listActorSteps = (world: ClaimWorld, index: number): ClaimWorld[] => {
    const { step } = world.actors[index] as Actor;
    if (step.kind === 'read') return [handleReply(world, index, buildReply(world.row))];
    return step.kind === 'write' ? listWriteOutcomes(world, index, step) : [];
  };

  const listNext = (world: ClaimWorld): ClaimWorld[] => [
    ...listActorSteps(world, 0),
    ...listActorSteps(world, 1),
    ...world.delayed.map((sent, n) => ({
      ...applyWrite(world, sent),
      delayed: world.delayed.filter((_, other) => other !== n),
    })),
    ...(world.removalsLeft > 0 && world.row !== null
      ? [{ ...world, row: null, removalsLeft: world.removalsLeft - 1 }]
      : []),
  ];

  const buildActor = (index: 0 | 1): Actor => {
    const id = `claim-${index}`;
    const request = {
      workspace: 'w',
      keyDigest: 'k',
      generationId: id,
      requestDigest: '',
      idempotent: true,
    };
    const { claim: revision, takeOver: takeOverRevision } = rules.revisions[index];
    const claim = buildClaim(request, { claimId: id, vm: id, peerAddress: '', revision });
    const step: ClaimStep = { kind: 'write', row: claim, expectedRevision: null };
    return {
      phase: 'acquire',
      claim,
      takeOverRevision,
      seen: null,
      holder: null,
      sent: claim,
      step,
    };
  };

  return {
    initial: {
      row: null,
      delayed: [],
      actors: [buildActor(0), buildActor(1)],
      grantCount: 0,
      faultsLeft: bounds.faults,
      removalsLeft: bounds.removals,
      violation: null,
    },
    listNext,
    checkState: ({ violation, grantCount, removalsLeft }) => {
      const isGrantedTwice = grantCount > 1 && removalsLeft === bounds.removals;
      return violation ?? (isGrantedTwice ? 'both VMs were granted the claim' : null);
    },
  };
}
