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

/** Bound of a drain before a configuration names one. */
const DEFAULT_DRAIN_MS = 30_000;

/** Longest wait of a drain for the answers of ended generations to be stored. */
const END_WRITE_MS = 5000;

const createCursorCodec = (keys: EntrySettings['cursorKeys']): CursorSigner => ({
  sign: (cursor) => signCursor(cursor, keys),
  verify: (text) => verifyCursor(text, keys),
});

/** Starts what an entry does by itself; the returned function stops it. */
const startLoops = (
  base: EntryInfrastructure,
  parts: EntryParts,
  settings: EntrySettings,
  handleOwnLeaving: () => void,
): (() => Promise<void>) => {
  const { clock, health, load, log, randomness, shutdown, stores } = base;
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
 * @param settings - as read from the settings file; port 0 takes a free one
 * @param overrides - for tests, the demo and benches, which run several in one process
 * @returns the entry, listening; it takes new work once it has read a configuration
 */
export const startEntry = async (
  settings: EntrySettings,
  overrides: EntryOverrides = {},
): Promise<Result<Entry, EntryStartError>> => {
  const base = await wireInfrastructure(settings, overrides);
  const { decisions, health, load, log, shutdown, stores } = base;
  const deferred = createDeferredPeerServices();
  const peerServer = await startPeerServer({ ...settings.peers, services: deferred.services });
  if (peerServer.isErr()) {
    await stores.stop();
    return err({ kind: 'cannot-listen', reason: peerServer.error.reason });
  }
  const { address: peerAddress } = peerServer.value;
  const parts = wireEntry(base, settings, peerAddress);
  const { configuration, exchange, generations, isCutOff } = parts;

  const drain = async (): Promise<DrainOutcome> => {
    exchange.recordOwnLeaving(true);
    const limits = configuration.readCurrent()?.configuration.limits;
    const outcome = await shutdown.drain(limits?.drainMs ?? DEFAULT_DRAIN_MS);
    await generations.waitForPendingWrites(END_WRITE_MS);
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
  addGauges(base, parts);
  const app = createCallerApp({
    ...base,
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
  const stopLoops = startLoops(base, parts, settings, () => {
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
        const follow = (): void => resolve(drain());
        shutdown.addListener(follow);
        // The platform's list may have begun the drain before anybody waited for it.
        if (shutdown.isDraining()) follow();
      }),
    stop: async () => {
      await stopLoops();
      await callers.value.stop();
      await stopConnections();
    },
    listDecisions: decisions.listDecisions,
    readConfigurationVersion: configuration.readVersion,
  });
};
