import { createGatewayClient } from '../../../../adapters/connect';
import { createSilentLog } from '../../../../adapters/log';
import { createGatewayMetrics } from '../../../../adapters/metrics';
import { createSystemClock, createSystemRandomness } from '../../../../adapters/system';
import {
  createForwarder,
  createPromptReservations,
  createRouteTableHolder,
  type ServerDirectory,
} from '../../../../application/forwarding';
import { createGossip, type Gossip } from '../../../../application/gossip';
import { createServerPaces } from '../../../../application/paces';
import { createZoneReplication } from '../../../../application/rows';
import { CONFIGURATION_KEY, createStoreClient, decodeRouteTable } from '../../../../../platform';
import { wireCrashes } from '../wireCrashes';
import { wireDirectory } from '../wireDirectory';
import { wireFleetLoad } from '../wireFleetLoad';
import { wireFollowers } from '../wireFollowers';
import { wireLimits } from '../wireLimits';
import { wireOverload } from '../wireOverload';
import { wirePaths } from '../wirePaths';
import { wireRetries, type RetryParts } from '../wireRetries';
import { wireRollouts } from '../wireRollouts';
import { buildSchedulingFactories } from '../buildSchedulingFactories';
import { wireScheduling } from '../wireScheduling';
import type { GatewayOverrides, GatewayParts } from '../../types';
import { computeStoreTimes, type GatewaySettings } from '../../../../domain/forwarding';

/** Wires the parts of a gateway without starting them. */
export const wireGateway = (
  settings: GatewaySettings,
  overrides: GatewayOverrides,
): GatewayParts => {
  const clock = overrides.clock ?? createSystemClock();
  const randomness = overrides.randomness ?? createSystemRandomness();
  const log = overrides.log ?? createSilentLog();
  const metrics = createGatewayMetrics();
  const common = { clock, log, meter: metrics, randomness };
  const store = overrides.store ?? createStoreClient(settings.storeUrl, { clock });
  let readTableAgeMs = (): number => Infinity;
  const { claimMs } = computeStoreTimes(settings.bounds);
  const tables = createRouteTableHolder({
    ...{ key: CONFIGURATION_KEY, decode: decodeRouteTable, claimMs, log },
    readAgeMs: () => readTableAgeMs(),
  });
  // Gossip depends on the followers and these on the directory, so gossip is wired last.
  const wired: { gossip: Gossip | null; retryParts: RetryParts | null } = {
    gossip: null,
    retryParts: null,
  };
  const calls = createGatewayClient();
  const listMembers: Gossip['listMembers'] = () => wired.gossip?.listMembers() ?? [];
  // The paths, the limits and the directory depend on each other.
  let known: Pick<ServerDirectory, 'listEntries' | 'readLoad' | 'recordReachable'> | null = null;
  const { client, probeReach, paths } = wirePaths({
    ...common,
    self: settings,
    calls,
    listPeers: listMembers,
    listEntries: () => known?.listEntries() ?? [],
    recordReachable: (id) => known?.recordReachable(id),
    recordQuery: metrics.recordQuery,
    tables,
  });
  const { limits, permits, ...owners } = wireLimits({
    ...common,
    self: settings,
    listPeers: listMembers,
    calls,
    readServer: (id) => known?.readLoad(id) ?? null,
    readReachedFraction: () => wired.retryParts?.readReachedFraction() ?? 1,
    publishLimit: (limit) => wired.gossip?.sendLimit(limit),
  });
  const serverPaces = createServerPaces({ clock });
  const { directory, identityWatch } = wireDirectory({
    ...common,
    settings,
    client,
    limits,
    paths,
    permits,
    serverPaces,
    tables,
    publishSuspicion: (id, cause) => wired.gossip?.sendSuspicion(id, cause),
    publishInferred: (server) => wired.gossip?.sendInferred(server),
  });
  known = directory;
  const { judge: rolloutJudge, rollouts } = wireRollouts({
    ...common,
    settings,
    directory,
    listPeers: listMembers,
    readShare: () => wired.retryParts?.readShare() ?? 0,
    sendReport: calls.reportTrial,
    store,
    publishVerdict: (verdict) => wired.gossip?.sendVerdict(verdict),
  });
  const { crashes, crashProbe, crashTrials, quarantineRows } = wireCrashes({
    ...common,
    client,
    directory,
    paths,
    store,
    tables,
    publishOutcome: (outcome) => wired.gossip?.sendOutcome(outcome),
  });
  let handleUpdate = (): void => undefined;
  let askPeers = (): void => undefined;
  const { followers, pair, stalenessLimits } = wireFollowers({
    ...common,
    settings,
    store,
    tables,
    rollouts,
    directory,
    quarantineRows,
    handleUpdate: () => handleUpdate(),
    handleOutageStart: () => askPeers(),
  });
  readTableAgeMs = pair.primary.readAgeMs;
  const { availabilityZone, cores, peerAddress: address, vm } = settings;
  const self = { vm, address, availabilityZone, cores };
  const gossip = createGossip({
    ...common,
    self,
    seedAddresses: settings.seedAddresses,
    calls,
    followers,
    outcomes: crashes,
    verdicts: rollouts,
    limits,
    handleSuspicion: ({ ageMs, server }) => directory.recordSuspicion(server, 'told', ageMs),
    handleInferred: (server) => {
      directory.addInferred(server);
      identityWatch.start();
    },
  });
  wired.gossip = gossip;
  askPeers = gossip.askNow;
  const sharing = createZoneReplication({
    ...common,
    self,
    sharing: stalenessLimits,
    pair,
    followers,
    listMembers: gossip.listMembers,
    requestStatements: calls.followTables,
  });
  handleUpdate = sharing.handleUpdate;
  const { gate, loopDelay, memory } = wireOverload({
    settings,
    clock,
    log,
    randomness,
    serverPaces,
    tables,
  });
  const retryParts = wireRetries({ ...common, settings, store, calls, gossip });
  wired.retryParts = retryParts;
  const { lender, retries, share, unread } = retryParts;
  const places = createPromptReservations({
    self: settings.vm,
    listPeers: gossip.listMembers,
    tellPeer: calls.tellPrompt,
    askPeer: calls.reservePrompt,
    countPendingPrefillTokens: directory.countPendingPrefillTokens,
    recordPeerPrompt: directory.recordPeerPrompt,
  });
  const scheduling = wireScheduling({
    ...common,
    self,
    listPeers: gossip.listMembers,
    calls,
    hasService: (service) => tables.readCurrent()?.services.has(service) ?? false,
    factories:
      overrides.scheduling ??
      buildSchedulingFactories({
        ...common,
        directory,
        paces: serverPaces,
        readReport: client.readReport,
      }),
  });
  const fleetLoad = wireFleetLoad({
    ...common,
    self,
    listPeers: gossip.listMembers,
    calls,
    directory,
    serverPaces,
  });
  const forwarder = createForwarder({
    ...common,
    fleetLoad,
    lender,
    scheduler: scheduling.client,
    serverPaces,
    availabilityZone: settings.availabilityZone,
    client,
    crashes,
    crashProbe,
    crashTrials,
    quarantineRows,
    directory,
    limits,
    loopDelay,
    paths,
    permits,
    retries,
    rollouts,
    tables,
    unread,
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
    fleetLoad,
    followers: { configuration: pair.primary, servers: pair.secondary },
    gossip,
    sharing,
    lender,
    retries,
    share,
    ...owners,
    gate,
    loopDelay,
    memory,
    crashes,
    quarantineRows,
    paths,
    probeReach,
    relayRequest: client.relayRequest,
    places,
    rolloutJudge,
    scheduling,
    stop: async () => {
      const parts = [fleetLoad, scheduling, quarantineRows, rolloutJudge, sharing, gossip];
      [...parts, identityWatch, paths, share].forEach((part) => part.stop());
      calls.close();
      await Promise.all([client.stop(), store.stop()]);
    },
  };
};
