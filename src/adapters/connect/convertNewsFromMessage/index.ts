import type { Fact, News, PeerRecord } from '../../../domain/membership';
import { SuspicionCause } from '../../../domain/types';
import type {
  News as NewsMessage,
  PeerRecord as PeerRecordMessage,
  ServerStateNews,
  SuspicionNews,
} from '../gen/peer_pb';

const INCARNATION_TAG_COUNT = 256;
const LOAD_COLUMNS = 6;

const convertRecord = (record: PeerRecordMessage): PeerRecord => ({
  vm: record.vm,
  peerAddress: record.peerAddress,
  region: record.region,
  availabilityZone: record.availabilityZone,
  leaving: record.leaving,
  incarnation: Number(record.incarnation),
});

const isCause = (cause: string): cause is SuspicionCause =>
  Object.values<string>(SuspicionCause).includes(cause);

// A peer with newer software may send an unknown cause; the suspicion is kept as `Failing`.
const convertSuspicion = (news: SuspicionNews): Fact => ({
  kind: 'suspicion',
  suspicion: {
    backendServer: news.backendServer,
    cause: isCause(news.cause) ? news.cause : SuspicionCause.Failing,
    confirmed: news.confirmed,
    vm: news.vm,
    epoch: Number(news.epoch),
  },
});

const convertServerState = (state: ServerStateNews): Fact => ({
  kind: 'server-state',
  backendServer: state.backendServer,
  slots: state.slots,
  models: state.models.map(({ model, version, adapter }) => ({ model, version, adapter })),
  role: state.role,
  leaving: state.leaving,
  fencingToken: Number(state.fencingToken),
});

const convertPulses = (message: NewsMessage): readonly Fact[] =>
  message.pulseIds.map((id, index) => {
    const value = message.pulseValues[index] ?? 0;
    return {
      kind: 'pulse',
      id,
      incarnationTag: value % INCARNATION_TAG_COUNT,
      beats: Math.floor(value / INCARNATION_TAG_COUNT),
    };
  });

const convertLoads = (message: NewsMessage): readonly Fact[] =>
  message.loadIds.map((id, index) => {
    const values = message.loadValues.slice(index * LOAD_COLUMNS, (index + 1) * LOAD_COLUMNS);
    const [sequence = 0, running = 0, waiting = 0, cacheUsePermille = 0] = values;
    const [, , , , tokensPerSecond = 0, ageMs = 0] = values;
    return {
      kind: 'load',
      id,
      sequence,
      running,
      waiting,
      cacheUsePermille,
      tokensPerSecond,
      ageMs,
    };
  });

const convertSends = (message: NewsMessage): readonly Fact[] =>
  message.sendIds.map((id, index) => ({
    kind: 'send',
    id,
    running: message.sendCounts[index] ?? 0,
  }));

/**
 * Converts a protobuf message to news.
 *
 * @returns the news, or null if the message names no sender
 */
export const convertNewsFromMessage = (message: NewsMessage | undefined): News | null => {
  if (message?.sender === undefined || message.sender.vm === '') return null;
  return {
    sender: convertRecord(message.sender),
    beats: message.beats,
    sequence: message.sequence,
    since: message.since,
    acknowledged: message.acknowledged,
    brief: message.brief,
    configurationVersion: Number(message.configurationVersion),
    newestReadAgeMs:
      message.newestReadAgeMsPlusOne === 0 ? null : message.newestReadAgeMsPlusOne - 1,
    clockMs: Number(message.clockMs),
    echoClockMs: Number(message.echoClockMs),
    facts: [
      ...message.peers.map((record): Fact => ({ kind: 'peer', record: convertRecord(record) })),
      ...convertPulses(message),
      ...message.regions.map(({ region, heard, ageMs }): Fact => ({
        kind: 'region',
        region,
        heard,
        ageMs,
      })),
      ...message.suspicions.map(convertSuspicion),
      ...message.leavingServers.map((backendServer): Fact => ({ kind: 'leaving', backendServer })),
      ...message.serverStates.map(convertServerState),
      ...convertLoads(message),
      ...convertSends(message),
      ...message.crashes.map((crash): Fact => ({
        kind: 'crash',
        fingerprint: crash.fingerprint,
        requestId: crash.requestId,
        server: crash.server,
        hasCrashed: crash.hasCrashed,
        isConfirmed: crash.isConfirmed,
        ranMs: crash.ranMs,
        ageMs: crash.ageMs,
      })),
      ...message.recoveredServers.map((backendServer): Fact => ({
        kind: 'recovery',
        backendServer,
      })),
    ],
  };
};
