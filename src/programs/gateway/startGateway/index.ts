import { err, ok, type Result } from 'neverthrow';
import {
  startForwardingServer,
  type ForwardingServer,
  type ListenError,
} from '../../../adapters/http';
import { createRelayHandler } from '../../../adapters/connect';
import { findMemoryUse, OverloadCause } from '../../../domain/overload';
import { waitDelay } from '../../../application/time';
import { decodeRequestHead } from '../../../../platform';
import type { GatewaySettings } from '../../../domain/forwarding';
import { parseAddress } from '../_lib/parseAddress';
import { logReady } from '../_lib/logReady';
import { startEndpoints } from '../_lib/startEndpoints';
import { wireGateway } from '../_lib/wireGateway';
import type { GatewayOverrides } from '../types';

/** A running gateway. */
export interface Gateway {
  readonly callerUrl: string;
  readonly readinessUrl: string;
  readonly metricsUrl: string;
  /** Reports not ready, lets running requests end, and resolves when the process may exit. */
  drain(): Promise<void>;
  /** Applies the reloadable keys and returns the changed keys that need a restart. */
  applySettings(settings: GatewaySettings): readonly string[];
  stop(): Promise<void>;
}

/** Keys that can change while the gateway runs. */
const RELOADABLE_KEYS: ReadonlySet<string> = new Set<keyof GatewaySettings>(['seedAddresses']);

const listChangedKeys = (before: GatewaySettings, after: GatewaySettings): string[] =>
  (Object.keys(after) as (keyof GatewaySettings)[]).filter(
    (key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]),
  );

/**
 * Time after SIGTERM in which new requests are still accepted. The platform checks readiness once a
 * second, and opens connections to this VM until two checks have failed.
 */
const READINESS_PROPAGATION_MS = 2500;

/** Time before SIGKILL that is left for the process to exit by itself. */
const EXIT_MARGIN_MS = 400;

/** Time before the exit in which callers get the answers of requests that still run. */
const LAST_ANSWERS_MS = 100;

/**
 * Time after SIGTERM in which new streams are still accepted. Most take six seconds, so that later
 * ones would be cut off when the process exits.
 */
const ACCEPT_STREAMS_MS = 1500;

/**
 * Time before SIGKILL in which all new requests are refused, so that none is cut off when the
 * process exits. Running calls end well within this time.
 */
const REFUSE_ALL_MARGIN_MS = 2500;

const DRAIN_POLL_MS = 50;

/**
 * Starts a gateway, which listens for requests and follows the configuration and the servers.
 *
 * @param settings - settings from the settings file
 * @param overrides - replacements of parts, for tests and the demo
 */
export const startGateway = async (
  settings: GatewaySettings,
  overrides: GatewayOverrides = {},
): Promise<Result<Gateway, ListenError>> => {
  const parts = wireGateway(settings, overrides);
  const { clock, followers, forwarder, log, scheduling, tables } = parts;
  let isDraining = false;
  const isReady = (): boolean =>
    !isDraining &&
    tables.readCurrent() !== null &&
    followers.servers.readVersion() > 0 &&
    parts.quarantineRows.isRead();

  const callers = await startForwardingServer(
    {
      clock,
      log,
      forwarder,
      gate: parts.gate,
      memory: parts.memory,
      findMemoryUse: (head) => findMemoryUse(tables.readCurrent(), head),
      decodeHead: decodeRequestHead,
      readLimits: () => tables.readCurrent()?.limits ?? null,
      isLate: parts.loopDelay.isLate,
      isClosing: () => isDraining,
    },
    parseAddress(settings.callerAddress),
  );
  if (callers.isErr()) return err(callers.error);
  const server: ForwardingServer = callers.value;
  const relay = createRelayHandler({
    findServer: parts.directory.findEntry,
    relayRequest: parts.relayRequest,
    isDraining: () => isDraining,
    log,
  });
  const countRunning = (): number => forwarder.countRunning() + relay.countRunning();
  const endpoints = await startEndpoints(settings, {
    ...parts,
    relay,
    countRunning,
    isReady,
    isDraining: () => isDraining,
  });
  if (endpoints.isErr()) {
    await server.stop();
    return err(endpoints.error);
  }
  tables.addListener((table) => server.applyLimits(table.limits));
  parts.metrics.addGauges({
    countRunningRequests: forwarder.countRunning,
    countRelayedRequests: relay.countRunning,
    countUnreachedServers: parts.paths.countUnreached,
    countRelays: parts.paths.countRelays,
    countServingServers: parts.directory.countServing,
    countResponsibleParts: parts.crashes.countResponsibleParts,
    countClosedConnections: parts.gate.countClosed,
    countDroppedLines: overrides.countDroppedLines ?? (() => 0),
    readConfigurationVersion: () => tables.readCurrent()?.version ?? 0,
    readTableAgesMs: () =>
      new Map(Object.entries(followers).map(([table, follower]) => [table, follower.readAgeMs()])),
    readHeldBytes: parts.memory.readHeldBytes,
    readLoopDelayMs: parts.loopDelay.readDelayMs,
    countOverloadRefusals: () =>
      new Map([
        [OverloadCause.Memory, parts.memory.countRefused()],
        [OverloadCause.LoopDelay, parts.loopDelay.countRefused()],
      ]),
    isReader: parts.sharing.isReader,
    isReady,
    countWaitingStreams: scheduling.client.countWaiting,
    countSchedulerWaitingStreams: scheduling.registry.countWaiting,
    listFleetLoads: parts.fleetLoad.listLoads,
    listRetryUse: parts.retries.listUse,
    countScheduledServices: () => scheduling.registry.listServices().length,
  });
  if (!settings.isFirstStart) parts.quarantineRows.startRead();
  tables.addListener(parts.quarantineRows.limitReadWait);
  followers.configuration.start();
  followers.servers.start();
  parts.sharing.start();
  parts.gossip.start();
  parts.share.start();
  const stopReadyLog = logReady({ ...parts, isReady });
  log.info('gateway started', { vm: settings.vm, zone: settings.availabilityZone });

  return ok({
    callerUrl: server.url,
    readinessUrl: endpoints.value.readinessUrl,
    metricsUrl: endpoints.value.metricsUrl,
    drain: async () => {
      if (isDraining) return;
      isDraining = true;
      stopReadyLog();
      const startedAtMs = clock.readMonotonicMs();
      const exitAtMs = startedAtMs + settings.bounds.shutdownMs - EXIT_MARGIN_MS;
      forwarder.drainUntil(exitAtMs - LAST_ANSWERS_MS);
      const readElapsedMs = (): number => clock.readMonotonicMs() - startedAtMs;
      scheduling.registry.stopAccepting();
      log.info('gateway draining', { running: countRunning() });
      while (
        readElapsedMs() < READINESS_PROPAGATION_MS ||
        (Math.max(countRunning(), server.countOpen()) > 0 && clock.readMonotonicMs() < exitAtMs)
      ) {
        await waitDelay(clock, DRAIN_POLL_MS);
        if (readElapsedMs() >= ACCEPT_STREAMS_MS) forwarder.refuseStreams();
        if (readElapsedMs() >= settings.bounds.shutdownMs - REFUSE_ALL_MARGIN_MS)
          forwarder.refuseAll();
        if (readElapsedMs() >= READINESS_PROPAGATION_MS) server.closeIdleConnections();
      }
      log.info('gateway drained', { running: countRunning() });
    },
    applySettings: (next) => {
      parts.gossip.applySeeds(next.seedAddresses);
      return listChangedKeys(settings, next).filter((key) => !RELOADABLE_KEYS.has(key));
    },
    stop: async () => {
      stopReadyLog();
      parts.gate.stop();
      followers.configuration.stop();
      followers.servers.stop();
      await Promise.all([server.stop(), endpoints.value.stop()]);
      await parts.stop();
      log.info('gateway stopped', { vm: settings.vm });
    },
  });
};
