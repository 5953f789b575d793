import { createGatewayClient } from '../../../../adapters/connect';
import { createSilentLog } from '../../../../adapters/log';
import { createGatewayMetrics, type GatewayMetrics } from '../../../../adapters/metrics';
import { createSystemClock, createSystemRandomness } from '../../../../adapters/system';
import {
  createForwarder,
  createIdentityWatch,
  createPromptPlaces,
  type QuarantineRows,
  type PromptPlaces,
  createRouteTableHolder,
  createServerDirectory,
  type Forwarder,
  type RetryLender,
  type ServerDirectory,
  type RouteTableHolder,
} from '../../../../application/forwarding';
import { createGossip, type Gossip } from '../../../../application/gossip';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import {
  createFollowerPair,
  createSharedReading,
  type RowFollower,
  type SharedReading,
} from '../../../../application/rows';
import {
  CONFIGURATION_KEY,
  createServerClient,
  createStoreClient,
  decodeRouteTable,
  decodeServerEntry,
  TABLES,
  type StoreClient,
} from '../../../../../platform';
import { wireCrashes } from '../wireCrashes';
import { wireRetries } from '../wireRetries';
import { wireRollouts, type RolloutParts } from '../wireRollouts';
import {
  computeBurstPause,
  computeFollowWait,
  computeSharing,
  type GatewaySettings,
} from '../../../../domain/forwarding';

/** What tests pass in. */
export interface GatewayOverrides {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  readonly log?: EventLog;
  /** In place of the platform's store. */
  readonly store?: StoreClient;
  /** Log lines that were dropped, for the metrics. */
  readonly countDroppedLines?: () => number;
}

/** The parts of a gateway. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly tables: RouteTableHolder;
  readonly directory: ServerDirectory;
  readonly forwarder: Forwarder;
  readonly followers: { readonly configuration: RowFollower; readonly servers: RowFollower };
  readonly gossip: Gossip;
  readonly sharing: SharedReading;
  readonly lender: RetryLender;
  readonly quarantineRows: QuarantineRows;
  readonly places: PromptPlaces;
  readonly rolloutJudge: RolloutParts['judge'];
  /** Closes all connections to servers and the store. */
  stop(): Promise<void>;
}

/** Wires the parts of a gateway; nothing runs yet. */
export const wireGateway = (
  settings: GatewaySettings,
  overrides: GatewayOverrides,
): GatewayParts => {
  const clock = overrides.clock ?? createSystemClock();
  const randomness = overrides.randomness ?? createSystemRandomness();
  const log = overrides.log ?? createSilentLog();
  const metrics = createGatewayMetrics();
  const store = overrides.store ?? createStoreClient(settings.storeUrl, { clock });
  const client = createServerClient({ clock });
  const tables = createRouteTableHolder({ key: CONFIGURATION_KEY, decode: decodeRouteTable, log });
  // The gossip tells of the followers' rows, which the directory takes: it is wired last.
  let sendSuspicion: Gossip['sendSuspicion'] = () => undefined;
  let sendInferred: Gossip['sendInferred'] = () => undefined;
  let sendOutcome: Gossip['sendOutcome'] = () => undefined;
  let startIdentityWatch = (): void => undefined;
  const directory = createServerDirectory({
    decode: decodeServerEntry,
    clock,
    log,
    handleGone: client.removeServer,
    reuseAfterMs: settings.bounds.reuseAfterMs,
    handleSuspected: (id, cause) => {
      sendSuspicion(id, cause);
      startIdentityWatch();
    },
    handleInferred: (server) => {
      sendInferred(server);
      startIdentityWatch();
    },
  });
  const identities = createIdentityWatch({ client, clock, directory, log, tables });
  startIdentityWatch = identities.start;
  const calls = createGatewayClient();
  let listMembers: Gossip['listMembers'] = () => [];
  let sendVerdict: Gossip['sendVerdict'] = () => undefined;
  const { judge: rolloutJudge, rollouts } = wireRollouts({
    settings,
    clock,
    directory,
    listPeers: () => listMembers(),
    log,
    randomness,
    sendReport: calls.reportTrial,
    store,
    tellVerdict: (verdict) => sendVerdict(verdict),
  });
  // The configuration guards the servers' table: its changes are the rarer ones, and it is always there.
  const shared = computeSharing(settings.bounds);
  let handleAdvance = (): void => undefined;
  const pair = createFollowerPair({
    store,
    clock,
    randomness,
    log,
    aloneWaitMs: computeFollowWait(settings.bounds),
    freshMs: shared?.freshMs ?? Infinity,
    staleMs: shared?.staleMs ?? Infinity,
    burstPauseMs: computeBurstPause(settings.bounds),
    handleAdvance: () => handleAdvance(),
    guard: {
      table: TABLES.operator,
      handleRows: (rows) => {
        tables.applyRows(rows);
        rollouts.applyRows(rows);
      },
    },
    guarded: { table: TABLES.servers, handleRows: directory.applyRows },
  });
  const { guard: configuration, guarded: servers } = pair;
  const followers = new Map([
    [TABLES.operator, configuration],
    [TABLES.servers, servers],
  ]);
  const { crashes, crashProbe, quarantineRows } = wireCrashes({
    client,
    clock,
    directory,
    log,
    randomness,
    store,
    tables,
    tellOutcome: (outcome) => sendOutcome(outcome),
  });
  const self = {
    vm: settings.vm,
    address: settings.peerAddress,
    availabilityZone: settings.availabilityZone,
    cores: settings.cores,
  };
  const gossip = createGossip({
    self,
    seedAddresses: settings.seedAddresses,
    calls,
    followers,
    outcomes: crashes,
    verdicts: rollouts,
    clock,
    randomness,
    log,
    handleSuspicion: ({ server }) => directory.recordSuspicion(server, 'told'),
    handleInferred: (server) => {
      directory.applyInferred(server);
      identities.start();
    },
  });
  sendSuspicion = gossip.sendSuspicion;
  sendInferred = gossip.sendInferred;
  sendOutcome = gossip.sendOutcome;
  sendVerdict = gossip.sendVerdict;
  listMembers = gossip.listMembers;
  const sharing = createSharedReading({
    self,
    sharing: shared,
    pair,
    followers,
    listMembers: gossip.listMembers,
    askVm: calls.followTables,
    clock,
    randomness,
    log,
  });
  handleAdvance = sharing.handleAdvance;
  const { bounds } = settings;
  const { lender, retries } = wireRetries({ bounds, calls, clock, gossip, log });
  const places = createPromptPlaces({
    self: settings.vm,
    listPeers: gossip.listMembers,
    tellPeer: calls.tellPrompt,
    askPeer: calls.reservePrompt,
    countUnreadTokens: directory.countUnreadTokens,
    recordToldPrompt: directory.recordToldPrompt,
  });
  const forwarder = createForwarder({
    lender,
    availabilityZone: settings.availabilityZone,
    client,
    clock,
    crashes,
    crashProbe,
    directory,
    log,
    meter: metrics,
    randomness,
    retries,
    rollouts,
    tables,
    tellPrompt: places.tellPrompt,
    reservePrompt: places.reservePrompt,
  });
  return {
    clock,
    log,
    metrics,
    tables,
    directory,
    forwarder,
    followers: { configuration, servers },
    gossip,
    sharing,
    lender,
    quarantineRows,
    places,
    rolloutJudge,
    stop: async () => {
      quarantineRows.stop();
      rolloutJudge.stop();
      sharing.stop();
      gossip.stop();
      identities.stop();
      calls.close();
      await Promise.all([client.stop(), store.stop()]);
    },
  };
};
