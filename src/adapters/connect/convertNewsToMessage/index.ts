import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Fact, News, PeerRecord } from '../../../domain/membership';
import { NewsSchema } from '../gen/peer_pb';
import type {
  CrashNewsSchema,
  PeerRecordSchema,
  RegionDigestSchema,
  ServerStateNewsSchema,
  SuspicionNewsSchema,
  News as NewsMessage,
} from '../gen/peer_pb';

const INCARNATION_TAG_COUNT = 256;

const convertRecord = (record: PeerRecord) => ({
  ...record,
  incarnation: BigInt(record.incarnation),
});

interface Columns {
  readonly peers: MessageInitShape<typeof PeerRecordSchema>[];
  readonly pulseIds: number[];
  readonly pulseValues: number[];
  readonly regions: MessageInitShape<typeof RegionDigestSchema>[];
  readonly suspicions: MessageInitShape<typeof SuspicionNewsSchema>[];
  readonly leavingServers: string[];
  readonly serverStates: MessageInitShape<typeof ServerStateNewsSchema>[];
  readonly loadIds: number[];
  readonly loadValues: number[];
  readonly sendIds: number[];
  readonly sendCounts: number[];
  readonly recoveredServers: string[];
  readonly crashes: MessageInitShape<typeof CrashNewsSchema>[];
}

const createColumns = (): Columns => ({
  peers: [],
  pulseIds: [],
  pulseValues: [],
  regions: [],
  suspicions: [],
  leavingServers: [],
  serverStates: [],
  loadIds: [],
  loadValues: [],
  sendIds: [],
  sendCounts: [],
  recoveredServers: [],
  crashes: [],
});

type AddFactByKind = {
  readonly [Kind in Fact['kind']]: (
    columns: Columns,
    fact: Extract<Fact, { kind: Kind }>,
  ) => unknown;
};

/** Adds a fact to the columns of its kind. */
const addFactByKind: AddFactByKind = {
  peer: (columns, fact) => columns.peers.push(convertRecord(fact.record)),
  pulse: (columns, fact) => {
    columns.pulseIds.push(fact.id);
    columns.pulseValues.push(fact.beats * INCARNATION_TAG_COUNT + fact.incarnationTag);
  },
  region: (columns, fact) =>
    columns.regions.push({ region: fact.region, heard: fact.heard, ageMs: fact.ageMs }),
  suspicion: (columns, { suspicion }) =>
    columns.suspicions.push({ ...suspicion, epoch: BigInt(suspicion.epoch) }),
  leaving: (columns, fact) => columns.leavingServers.push(fact.backendServer),
  crash: (columns, { ageMs, kind, ranMs, ...fact }) =>
    columns.crashes.push({ ...fact, ranMs: Math.round(ranMs), ageMs: Math.round(ageMs) }),
  recovery: (columns, fact) => columns.recoveredServers.push(fact.backendServer),
  send: (columns, fact) => {
    columns.sendIds.push(fact.id);
    columns.sendCounts.push(fact.running);
  },
  'server-state': (columns, fact) =>
    columns.serverStates.push({
      backendServer: fact.backendServer,
      slots: fact.slots,
      models: fact.models.map((model) => ({ ...model })),
      role: fact.role,
      leaving: fact.leaving,
      fencingToken: BigInt(fact.fencingToken),
    }),
  load: (columns, fact) => {
    columns.loadIds.push(fact.id);
    columns.loadValues.push(
      fact.sequence,
      fact.running,
      fact.waiting,
      fact.cacheUsePermille,
      fact.tokensPerSecond,
      fact.ageMs,
    );
  },
};

const addFact = <Kind extends Fact['kind']>(
  columns: Columns,
  fact: Extract<Fact, { kind: Kind }>,
): void => {
  const { kind } = fact;
  addFactByKind[kind](columns, fact);
};

/** Converts news to its protobuf message; frequent kinds of facts are stored in packed columns. */
export const convertNewsToMessage = (news: News): NewsMessage => {
  const columns = createColumns();
  news.facts.forEach((fact) => addFact(columns, fact));
  return create(NewsSchema, {
    ...columns,
    sender: convertRecord(news.sender),
    beats: news.beats,
    sequence: news.sequence,
    since: news.since,
    acknowledged: news.acknowledged,
    brief: news.brief,
    configurationVersion: BigInt(news.configurationVersion),
    newestReadAgeMsPlusOne: news.newestReadAgeMs === null ? 0 : Math.ceil(news.newestReadAgeMs) + 1,
    clockMs: BigInt(Math.floor(news.clockMs)),
    echoClockMs: BigInt(Math.floor(news.echoClockMs)),
  });
};
