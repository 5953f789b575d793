import { create } from '@bufbuild/protobuf';
import type { ServerEntry } from '../../../../domain/forwarding';
import type { Knowledge, Member } from '../../../../application/gossip';
import { buildVerdictMessage, readVerdictMessage } from '../convertRollouts';
import { buildTableChanges, readTableChanges } from '../convertTableChanges';
import { buildTallyMessage, readTallyMessage } from '../convertTallies';
import {
  InferredServerSchema,
  KnowledgeSchema,
  MemberSchema,
  RunOutcomeSchema,
  ServerLimitSchema,
  SuspicionSchema,
  TableVersionSchema,
  type InferredServer,
  type Knowledge as KnowledgeMessage,
  type Member as MemberMessage,
} from '../../gen/gateway_pb';

const MILLI = 1000;

const buildMember = ({ address, ageMs, availabilityZone, cores, vm }: Member): MemberMessage =>
  create(MemberSchema, {
    vm,
    address,
    availabilityZone,
    ageMs: Math.round(ageMs),
    millicores: Math.round(cores * MILLI),
  });

/** Converts a gateway's knowledge to its protobuf message. */
export const buildKnowledgeMessage = (knowledge: Knowledge): KnowledgeMessage =>
  create(KnowledgeSchema, {
    sender: buildMember(knowledge.sender),
    ...(knowledge.sent ? { senderRun: knowledge.sent.run, sentMs: knowledge.sent.atMs } : {}),
    members: knowledge.members.map(buildMember),
    isMembersAsked: knowledge.isMembersAsked,
    heardIds: [...knowledge.heard.keys()],
    heardAgesMs: [...knowledge.heard.values()].map(Math.round),
    versions: [...knowledge.versions].map(([table, version]) =>
      create(TableVersionSchema, { table, version: BigInt(version) }),
    ),
    changes: knowledge.changes.map(buildTableChanges),
    suspicions: knowledge.suspicions.map((suspicion) => create(SuspicionSchema, { ...suspicion })),
    inferred: knowledge.inferred.map(({ address, availabilityZone, id, service, slots, version }) =>
      create(InferredServerSchema, { id, service, address, availabilityZone, slots, version }),
    ),
    outcomes: knowledge.outcomes.map(({ ageMs, parts = [], ranMs, ...outcome }) =>
      create(RunOutcomeSchema, {
        ...outcome,
        ageMs: Math.round(ageMs),
        ranMs: Math.round(ranMs),
        parts: [...parts],
      }),
    ),
    outcomesDigest: knowledge.outcomesDigest,
    tallies: knowledge.tallies.map(buildTallyMessage),
    verdicts: knowledge.verdicts.map(buildVerdictMessage),
    limits: knowledge.limits.map(({ ageMs, limitPerS, maxRejectionsPerS, server }) =>
      create(ServerLimitSchema, {
        server,
        ageMs: Math.round(ageMs),
        ...(limitPerS === null ? {} : { perS: limitPerS }),
        ...(maxRejectionsPerS === null ? {} : { maxRejectionsPerS }),
      }),
    ),
  });

const readMember = (message: MemberMessage): Member => ({
  vm: message.vm,
  address: message.address,
  availabilityZone: message.availabilityZone,
  cores: message.millicores / MILLI,
  ageMs: message.ageMs,
});

const readInferred = (message: InferredServer): ServerEntry => ({
  id: message.id,
  service: message.service,
  address: message.address,
  availabilityZone: message.availabilityZone,
  slots: message.slots,
  isLeaving: false,
  warmupLeftMs: 0,
  version: message.version,
  bornMs: null,
  sequence: 0,
});

/** Converts a protobuf message to knowledge; null if the message names no sender. */
export const readKnowledgeMessage = (message: KnowledgeMessage | undefined): Knowledge | null =>
  message?.sender
    ? {
        sender: readMember(message.sender),
        sent:
          message.sentMs === undefined ? null : { run: message.senderRun, atMs: message.sentMs },
        members: message.members.map(readMember),
        isMembersAsked: message.isMembersAsked,
        heard: new Map(message.heardIds.map((id, at) => [id, message.heardAgesMs[at] ?? Infinity])),
        versions: new Map(message.versions.map(({ table, version }) => [table, Number(version)])),
        changes: message.changes.map(readTableChanges),
        suspicions: message.suspicions.map(({ ageMs, cause, server }) => ({
          server,
          cause,
          ageMs,
        })),
        inferred: message.inferred.map(readInferred),
        outcomes: message.outcomes.map((outcome) => ({
          fingerprint: outcome.fingerprint,
          requestId: outcome.requestId,
          server: outcome.server,
          hasCrashed: outcome.hasCrashed,
          isConfirmed: outcome.isConfirmed,
          ranMs: outcome.ranMs,
          ageMs: outcome.ageMs,
          ...(outcome.parts.length > 0 ? { parts: outcome.parts } : {}),
          ...(outcome.isJudged ? { isJudged: true } : {}),
          ...(outcome.isLate ? { isLate: true } : {}),
        })),
        outcomesDigest: message.outcomesDigest,
        tallies: message.tallies.map(readTallyMessage),
        verdicts: message.verdicts.map(readVerdictMessage).filter((verdict) => verdict !== null),
        limits: message.limits.map(({ ageMs, maxRejectionsPerS, perS, server }) => ({
          server,
          limitPerS: perS ?? null,
          maxRejectionsPerS: maxRejectionsPerS ?? null,
          ageMs,
        })),
      }
    : null;
