import { createPeerClient } from '../../../../adapters/connect';
import { createHttpEngineClient } from '../../../../adapters/engine';
import { createHttpPlainClient } from '../../../../adapters/http';
import {
  cancelGenerationAnywhere,
  type CancelledGeneration,
} from '../../../../application/cancellation';
import { createClaims } from '../../../../application/claims';
import { createConfigurationFollower } from '../../../../application/configuration';
import { createCrashHistory } from '../../../../application/crashes';
import { createGenerations } from '../../../../application/generations';
import { createPeerExchange, type PeerExchange } from '../../../../application/peers';
import { createRouter } from '../../../../application/routing';
import { createPlainServices } from '../../../../application/services';
import { checkFreshness } from '../../../../domain/configuration';
import type { EntrySettings } from '../../types';
import type { EntryInfrastructure } from '../wireInfrastructure';

/** Retention of answers until a configuration is in force. */
const DEFAULT_ANSWER_TTL_MS = 3_600_000;

const MS_PER_S = 1000;

/** Wires the parts of an entry that depend on its peer address. */
export const wireEntry = (
  infrastructure: EntryInfrastructure,
  settings: EntrySettings,
  peerAddress: string,
) => {
  const { clock, decisions, health, load, log, randomness, stores } = infrastructure;
  const { availabilityZone, name: vm, region } = settings.vm;
  // The client looks addresses up in the exchange, and the exchange calls peers with the client.
  let exchange: PeerExchange | null = null;
  const peers = createPeerClient({
    clock,
    findPeerAddress: (name) => exchange?.findPeerAddress(name) ?? null,
  });
  const configuration = createConfigurationFollower({
    table: stores.tableStore,
    peers,
    clock,
    randomness,
    log,
  });
  const readConfiguration = () => configuration.readCurrent()?.configuration;
  const self = {
    vm,
    peerAddress,
    region,
    availabilityZone,
    incarnation: Math.floor(clock.readWallMs() / MS_PER_S),
  };
  const crashes = createCrashHistory({
    clock,
    log,
    // A crash is that of one run, which an engine that starts again does not undo.
    hasAnsweredSince: () => false,
    publishOutcome: (outcome) => exchange?.sendOutcome(outcome),
    handleQuarantine: () => undefined,
  });
  const startedExchange = createPeerExchange({
    self,
    seeds: settings.peers.seeds,
    clock,
    randomness,
    calls: peers,
    versions: configuration,
    health,
    load,
    crashes,
    listServerNames: () => (readConfiguration()?.backendServers ?? []).map(({ name }) => name),
  });
  exchange = startedExchange;
  const claims = createClaims({
    tableStore: stores.tableStore,
    objectStore: stores.objectStore,
    clock,
    randomness,
    vm,
    peerAddress,
    readAnswerTtlMs: () => readConfiguration()?.limits.answerTtlMs ?? DEFAULT_ANSWER_TTL_MS,
  });
  const engineClient = createHttpEngineClient({ clock });
  const router = createRouter({
    configuration,
    health,
    load,
    decisions,
    clock,
    randomness,
  });
  const generations = createGenerations({
    vm,
    clock,
    randomness,
    engineClient,
    router,
    health,
    claims,
    crashes,
    peers,
    configuration,
    decisionLog: decisions,
    eventLog: log,
  });
  const plainClient = createHttpPlainClient();
  return {
    self,
    peers,
    configuration,
    exchange: startedExchange,
    engineClient,
    router,
    generations,
    cancelGeneration: (generation: CancelledGeneration) =>
      cancelGenerationAnywhere(
        { generations, peers, listPeers: startedExchange.listPeers, vm },
        generation,
      ),
    plainClient,
    services: createPlainServices({ router, claims, client: plainClient, clock, log }),
    readTableReadAgeMs: (): number | null => {
      const readAtMs = configuration.readTableReadAtMs();
      return readAtMs === null ? null : clock.readMonotonicMs() - readAtMs;
    },
    isCutOff: (): boolean =>
      checkFreshness({
        ...startedExchange.readFreshness(),
        behindMs: configuration.readBehindMs(),
      }).isErr(),
  };
};

/** Parts of an entry that depend on its peer address. */
export type EntryParts = ReturnType<typeof wireEntry>;
