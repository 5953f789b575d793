import { err, ok, type Result } from 'neverthrow';
import {
  startForwardingServer,
  type ForwardingServer,
  type ListenError,
} from '../../../adapters/http';
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
  /** Reports itself as not ready, lets running requests end, and resolves when it may exit. */
  drain(): Promise<void>;
  /** Takes over what can change while it runs; returns the keys that need a restart. */
  applySettings(settings: GatewaySettings): readonly string[];
  stop(): Promise<void>;
}

/** Keys that are taken over while the gateway runs. */
const CHANGEABLE_KEYS: ReadonlySet<string> = new Set<keyof GatewaySettings>(['seedAddresses']);

const listChangedKeys = (before: GatewaySettings, after: GatewaySettings): string[] =>
  (Object.keys(after) as (keyof GatewaySettings)[]).filter(
    (key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]),
  );

/**
 * After SIGTERM the platform still sends new connections until it has asked twice whether this VM
 * is ready, once a second: until then it goes on to take requests.
 */
const TAKEN_OUT_MS = 2500;

/** Left of the time before SIGKILL for the process to end by itself. */
const EXIT_MARGIN_MS = 400;

/**
 * Streams that begin later than this after SIGTERM are refused: most take six seconds, and would be
 * cut off by the end of the process.
 */
const TAKE_STREAMS_MS = 1500;

/**
 * Left of the time before SIGKILL when every new request is refused: calls that are on their way
 * end well within it, and the last one must not be cut off by the end of the process.
 */
const REFUSE_ALL_MARGIN_MS = 2500;

const DRAIN_STEP_MS = 50;

/**
 * Starts a gateway: listens, and follows configuration and servers.
 *
 * @param settings - as read from the settings file
 * @param overrides - for tests and the demo
 */
export const startGateway = async (
  settings: GatewaySettings,
  overrides: GatewayOverrides = {},
): Promise<Result<Gateway, ListenError>> => {
  const parts = wireGateway(settings, overrides);
  const { clock, followers, forwarder, log, tables } = parts;
  let isDraining = false;
  const isReady = (): boolean =>
    !isDraining && tables.readCurrent() !== null && followers.servers.readVersion() > 0;

  const callers = await startForwardingServer(
    {
      clock,
      log,
      forwarder,
      decodeHead: decodeRequestHead,
      readLimits: () => tables.readCurrent()?.limits ?? null,
      isClosing: () => isDraining,
    },
    parseAddress(settings.callerAddress),
  );
  if (callers.isErr()) return err(callers.error);
  const server: ForwardingServer = callers.value;
  const endpoints = await startEndpoints(settings, { ...parts, isReady });
  if (endpoints.isErr()) {
    await server.stop();
    return err(endpoints.error);
  }
  tables.addListener((table) => server.applyLimits(table.limits));
  parts.metrics.addGauges({
    countRunningRequests: forwarder.countRunning,
    countServingServers: parts.directory.countServing,
    countDroppedLines: overrides.countDroppedLines ?? (() => 0),
    readConfigurationVersion: () => tables.readCurrent()?.version ?? 0,
    readTableAgesMs: () =>
      new Map(Object.entries(followers).map(([table, one]) => [table, one.readAgeMs()])),
    isReader: parts.sharing.isReader,
    isReady,
  });
  followers.configuration.start();
  followers.servers.start();
  parts.sharing.start();
  parts.gossip.start();
  if (!settings.isFirstStart) parts.quarantineRows.startRead();
  const stopRecording = logReady({ ...parts, isReady });
  log.info('gateway started', { vm: settings.vm, zone: settings.availabilityZone });

  return ok({
    callerUrl: server.url,
    readinessUrl: endpoints.value.readinessUrl,
    metricsUrl: endpoints.value.metricsUrl,
    drain: async () => {
      if (isDraining) return;
      isDraining = true;
      stopRecording();
      const startedAtMs = clock.readMonotonicMs();
      const readAgeMs = (): number => clock.readMonotonicMs() - startedAtMs;
      log.info('gateway draining', { running: forwarder.countRunning() });
      while (
        readAgeMs() < TAKEN_OUT_MS ||
        (forwarder.countRunning() > 0 && readAgeMs() < settings.bounds.shutdownMs - EXIT_MARGIN_MS)
      ) {
        await waitDelay(clock, DRAIN_STEP_MS);
        if (readAgeMs() >= TAKE_STREAMS_MS) forwarder.refuseStreams();
        if (readAgeMs() >= settings.bounds.shutdownMs - REFUSE_ALL_MARGIN_MS) forwarder.refuseAll();
        if (readAgeMs() >= TAKEN_OUT_MS) server.closeIdleConnections();
      }
      log.info('gateway drained', { running: forwarder.countRunning() });
    },
    applySettings: (next) => {
      parts.gossip.applySeeds(next.seedAddresses);
      return listChangedKeys(settings, next).filter((key) => !CHANGEABLE_KEYS.has(key));
    },
    stop: async () => {
      stopRecording();
      followers.configuration.stop();
      followers.servers.stop();
      await Promise.all([server.stop(), endpoints.value.stop()]);
      await parts.stop();
      log.info('gateway stopped', { vm: settings.vm });
    },
  });
};
