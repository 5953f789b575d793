import {
  createGatewayHandlers,
  createRelayHandler,
  startGatewayServer,
} from '../../../../src/adapters/connect';
import { createServerClient, type ServerClient } from '../../../../platform';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import type { StandInServer } from '../../../../standins/gateway';
import { readOk } from '../../../_lib/readOk';
import { buildStubServices } from '../buildStubServices';
import { buildTestAttempt } from '../buildTestAttempt';

/** A VM that forwards requests to servers, and a client that sends all requests through it. */
export interface TestRelay {
  readonly client: ServerClient;
  /** What the client learned of its path. */
  readonly observed: readonly string[];
  countRunning(): number;
  drain(): void;
  /** Ends the relay: its connections are closed, and new ones refused. */
  stopListening(): Promise<void>;
  stop(): Promise<void>;
}

/** Starts a relay that knows the given servers. */
export const startTestRelay = async (
  servers: readonly Pick<StandInServer, 'address' | 'id'>[],
): Promise<TestRelay> => {
  const clock = createFakeClock();
  const observed: string[] = [];
  let isDraining = false;
  const direct = createServerClient({ clock });
  const relay = createRelayHandler({
    findServer: (id) => {
      const found = servers.find((server) => server.id === id);
      return found ? buildTestAttempt(found.address, id).server : null;
    },
    relayRequest: direct.relayRequest,
    isDraining: () => isDraining,
    log: QUIET_LOG,
  });
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (knowledge) => knowledge,
  });
  const listening = readOk(
    await startGatewayServer({ handlers, relay, log: QUIET_LOG }, { host: '127.0.0.1', port: 0 }),
  );
  const { host: address } = new URL(listening.url);
  const client = createServerClient({
    clock,
    paths: {
      choosePath: () => ({ kind: 'relay', vm: 'relay', address }),
      isCutFrom: () => false,
      recordAnswer: () => observed.push('answer'),
      recordFailure: () => observed.push('failure'),
      recordRelayLoss: () => observed.push('loss'),
      recordRelayMiss: () => observed.push('miss'),
      recordRelaySilence: () => observed.push('silence'),
    },
  });
  return {
    client,
    observed,
    countRunning: relay.countRunning,
    drain: () => {
      isDraining = true;
    },
    stopListening: listening.stop,
    stop: async () => {
      await Promise.all([client.stop(), direct.stop(), listening.stop()]);
    },
  };
};
