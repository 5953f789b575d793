import { err, ok, type Result } from 'neverthrow';
import { startPeerServer } from '../../../adapters/connect';
import { createCallerApp, startCallerServer, type CursorSigner } from '../../../adapters/http';
import { createProber } from '../../../application/health';
import { createMembershipFollower } from '../../../application/membership';
import { createLoadPoller } from '../../../application/routing';
import type { DrainOutcome } from '../../../application/shutdown';
import { signCursor, verifyCursor } from '../../../domain/cursor';
import { buildStatus } from '../_lib/buildStatus';
import { createDeferredPeerServices } from '../_lib/createDeferredPeerServices';
import { wireInfrastructure, type EntryInfrastructure } from '../_lib/wireInfrastructure';
import { wireEntry, type EntryParts } from '../_lib/wireEntry';
import type { Entry, EntryOverrides, EntrySettings, EntryStartError } from '../types';

/** Timeout of a drain until a configuration is in force. */
const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;

/** Timeout of a drain's wait until the answers of ended generations are stored. */
const ANSWER_WRITE_TIMEOUT_MS = 5000;

const createCursorCodec = (keys: EntrySettings['cursorKeys']): CursorSigner => ({
  sign: (cursor) => signCursor(cursor, keys),
  verify: (text) => verifyCursor(text, keys),
});

/** Starts the background loops of an entry; the returned function stops them. */
const startBackgroundLoops = (
  infrastructure: EntryInfrastructure,
  parts: EntryParts,
  settings: EntrySettings,
  handleOwnLeaving: () => void,
): (() => Promise<void>) => {
  const { clock, health, load, log, randomness, shutdown, stores } = infrastructure;
  const { configuration, engineClient, exchange, self } = parts;
  const membership = createMembershipFollower({
    readSelf: () => ({ ...self, leaving: shutdown.isDraining() }),
    exchange,
    vmList: stores.vmList,
    table: stores.tableStore,
    health,
    clock,
    randomness,
    log,
    handleOwnLeaving,
  });
  const prober = createProber({ clock, engineClient, health, configuration });
  configuration.addListener(exchange.sendVersion);
  configuration.start();
  exchange.start();
  membership.start();
  prober.start();
  const poller = createLoadPoller({
    engines: engineClient,
    configuration,
    load,
    clock,
    vm: settings.vm.name,
    region: settings.vm.region,
    listLiveVms: exchange.listLiveVms,
  });
  return async () => {
    poller.stop();
    prober.stop();
    exchange.stop();
    configuration.stop();
    await membership.stop();
  };
};

const addGauges = ({ metrics, shutdown }: EntryInfrastructure, parts: EntryParts): void =>
  metrics.addGauges({
    countRunningGenerations: parts.generations.countRunning,
    countRunningRequests: shutdown.countRunning,
    countWaitingDemands: parts.router.countWaiting,
    readConfigurationVersion: parts.configuration.readVersion,
    isReady: () =>
      !shutdown.isDraining() && parts.configuration.readCurrent() !== null && !parts.isCutOff(),
  });

/**
 * Starts an entry: wires its parts and listens.
 *
 * @param settings - settings from the settings file; port 0 binds a free port
 * @param overrides - replacements of parts, for tests, the demo and benchmarks, which run several
 *   entries in one process
 * @returns the listening entry, which accepts work once it has read a configuration
 */
export const startEntry = async (
  settings: EntrySettings,
  overrides: EntryOverrides = {},
): Promise<Result<Entry, EntryStartError>> => {
  const infrastructure = await wireInfrastructure(settings, overrides);
  const { decisions, health, load, log, shutdown, stores } = infrastructure;
  const deferred = createDeferredPeerServices();
  const peerServer = await startPeerServer({ ...settings.peers, services: deferred.services });
  if (peerServer.isErr()) {
    await stores.stop();
    return err({ kind: 'cannot-listen', reason: peerServer.error.reason });
  }
  const { address: peerAddress } = peerServer.value;
  const parts = wireEntry(infrastructure, settings, peerAddress);
  const { configuration, exchange, generations, isCutOff } = parts;

  const drain = async (): Promise<DrainOutcome> => {
    exchange.recordOwnLeaving(true);
    const limits = configuration.readCurrent()?.configuration.limits;
    const outcome = await shutdown.drain(limits?.drainMs ?? DEFAULT_DRAIN_TIMEOUT_MS);
    await generations.waitForPendingWrites(ANSWER_WRITE_TIMEOUT_MS);
    return outcome;
  };
  deferred.setTarget({
    handleNews: exchange.handleNews,
    generations,
    decisions,
    readEncoded: configuration.readEncoded,
    readStatus: () =>
      buildStatus({
        vm: settings.vm.name,
        configuration,
        exchange,
        health,
        load,
        readState: () => ({
          draining: shutdown.isDraining(),
          cutOff: isCutOff(),
          tableReadAgeMs: parts.readTableReadAgeMs(),
          running: shutdown.countRunning(),
          generations: generations.countRunning(),
        }),
      }),
    drain: () => {
      drain();
      return shutdown.countRunning();
    },
  });
  addGauges(infrastructure, parts);
  const app = createCallerApp({
    ...infrastructure,
    ...parts,
    cursors: createCursorCodec(settings.cursorKeys),
  });
  const stopConnections = async (): Promise<void> => {
    generations.stop();
    parts.peers.close();
    await Promise.all([
      peerServer.value.stop(),
      parts.engineClient.close(),
      parts.plainClient.stop(),
      stores.stop(),
    ]);
  };
  const callers = await startCallerServer(app, settings.callers);
  if (callers.isErr()) {
    await stopConnections();
    return err({ kind: 'cannot-listen', reason: callers.error.reason });
  }
  const stopBackgroundLoops = startBackgroundLoops(infrastructure, parts, settings, () => {
    drain();
  });
  log.info('entry started', { vm: settings.vm.name, callers: callers.value.url, peerAddress });

  return ok({
    callerUrl: callers.value.url,
    peerAddress,
    waitForConfiguration: () =>
      new Promise((resolve) => {
        configuration.addListener(() => resolve());
        if (configuration.readCurrent() !== null) resolve();
      }),
    drain,
    waitForDrain: () =>
      new Promise((resolve) => {
        const resolveWithDrain = (): void => resolve(drain());
        shutdown.addListener(resolveWithDrain);
        // The platform's VM list may have started a drain before this call.
        if (shutdown.isDraining()) resolveWithDrain();
      }),
    stop: async () => {
      await stopBackgroundLoops();
      await callers.value.stop();
      await stopConnections();
    },
    listDecisions: decisions.listDecisions,
    readConfigurationVersion: configuration.readVersion,
  });
};
