import { createGatewayClient } from '../../../../adapters/connect';
import { createSilentLog } from '../../../../adapters/log';
import { createGatewayMetrics } from '../../../../adapters/metrics';
import { createSystemClock, createSystemRandomness } from '../../../../adapters/system';
import {
  createForwarder,
  createIdentityWatch,
  createPromptReservations,
  createRouteTableHolder,
  createServerDirectory,
} from '../../../../application/forwarding';
import { createGossip, type Gossip } from '../../../../application/gossip';
import { createSchedulerClient } from '../../../../application/scheduling';
import { createFollowerPair, createZoneReplication } from '../../../../application/rows';
import {
  CONFIGURATION_KEY,
  createServerClient,
  createStoreClient,
  decodeRouteTable,
  decodeServerEntry,
  TABLES,
} from '../../../../../platform';
import { wireCrashes } from '../wireCrashes';
import { wireLimits } from '../wireLimits';
import { wireRetries } from '../wireRetries';
import { wireRollouts } from '../wireRollouts';
import type { GatewayOverrides, GatewayParts } from '../../types';
import {
  computeBatchDelayMs,
  computeLongPollMs,
  computeStalenessLimits,
  type GatewaySettings,
} from '../../../../domain/forwarding';

/** Wires the parts of a gateway without starting them. */
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
  // Gossip depends on the followers and these on the directory, so gossip is wired last.
  let sendSuspicion: Gossip['sendSuspicion'] = () => undefined;
  let sendInferred: Gossip['sendInferred'] = () => undefined;
  let sendOutcome: Gossip['sendOutcome'] = () => undefined;
  let startIdentityWatch = (): void => undefined;
  const calls = createGatewayClient();
  let listMembers: Gossip['listMembers'] = () => [];
  let sendLimit: Gossip['sendLimit'] = () => undefined;
  const {
    owner: limitOwner,
    limits,
    permits,
  } = wireLimits({
    self: settings,
    listPeers: () => listMembers(),
    calls,
    publishLimit: (limit) => sendLimit(limit),
    clock,
    log,
    randomness,
  });
  const directory = createServerDirectory({
    decode: decodeServerEntry,
    clock,
    log,
    handleGone: (id) => {
      client.removeServer(id);
      limits.forgetServer(id);
      permits.forgetServer(id);
    },
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
  const identityWatch = createIdentityWatch({ client, clock, directory, log, tables });
  startIdentityWatch = identityWatch.start;
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
    publishVerdict: (verdict) => sendVerdict(verdict),
  });
  const { crashes, crashProbe, quarantineRows } = wireCrashes({
    client,
    clock,
    directory,
    log,
    randomness,
    store,
    tables,
    publishOutcome: (outcome) => sendOutcome(outcome),
  });
  // The configuration is the primary table: it changes less often, and it always exists.
  const stalenessLimits = computeStalenessLimits(settings.bounds);
  let handleUpdate = (): void => undefined;
  const pair = createFollowerPair({
    store,
    clock,
    randomness,
    log,
    shortWaitMs: computeLongPollMs(settings.bounds),
    freshMs: stalenessLimits?.freshMs ?? Infinity,
    staleMs: stalenessLimits?.staleMs ?? Infinity,
    burstPauseMs: computeBatchDelayMs(settings.bounds),
    handleUpdate: () => handleUpdate(),
    primary: {
      table: TABLES.operator,
      handleRows: (rows) => {
        tables.applyRows(rows);
        rollouts.applyRows(rows);
      },
      handleRestored: quarantineRows.startRewrite,
    },
    secondary: { table: TABLES.servers, handleRows: directory.applyRows },
  });
  const { primary: configuration, secondary: servers } = pair;
  const followers = new Map([
    [TABLES.operator, configuration],
    [TABLES.servers, servers],
  ]);
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
    limits,
    clock,
    randomness,
    log,
    handleSuspicion: ({ server }) => directory.recordSuspicion(server, 'told'),
    handleInferred: (server) => {
      directory.addInferred(server);
      identityWatch.start();
    },
  });
  sendSuspicion = gossip.sendSuspicion;
  sendInferred = gossip.sendInferred;
  sendOutcome = gossip.sendOutcome;
  sendVerdict = gossip.sendVerdict;
  sendLimit = gossip.sendLimit;
  listMembers = gossip.listMembers;
  const sharing = createZoneReplication({
    self,
    sharing: stalenessLimits,
    pair,
    followers,
    listMembers: gossip.listMembers,
    requestStatements: calls.followTables,
    clock,
    randomness,
    log,
  });
  handleUpdate = sharing.handleUpdate;
  const { bounds } = settings;
  const { lender, retries } = wireRetries({ bounds, calls, clock, gossip, log });
  const places = createPromptReservations({
    self: settings.vm,
    listPeers: gossip.listMembers,
    tellPeer: calls.tellPrompt,
    askPeer: calls.reservePrompt,
    countPendingPrefillTokens: directory.countPendingPrefillTokens,
    recordPeerPrompt: directory.recordPeerPrompt,
  });
  // Until this VM's scheduler and the calls to others are wired, no VM schedules.
  const scheduler = createSchedulerClient({
    self,
    listSchedulers: () => [self],
    askPeer: async () => null,
    handleLocally: () => ({ isOwner: false, decisions: [] }),
    clock,
    log,
    randomness,
  });
  const forwarder = createForwarder({
    lender,
    scheduler,
    serverPaces: { isUneven: () => false, record: () => undefined },
    availabilityZone: settings.availabilityZone,
    client,
    clock,
    crashes,
    crashProbe,
    directory,
    limits,
    permits,
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
    limitOwner,
    quarantineRows,
    places,
    rolloutJudge,
    stop: async () => {
      scheduler.stop();
      quarantineRows.stop();
      rolloutJudge.stop();
      sharing.stop();
      gossip.stop();
      identityWatch.stop();
      calls.close();
      await Promise.all([client.stop(), store.stop()]);
    },
  };
};
