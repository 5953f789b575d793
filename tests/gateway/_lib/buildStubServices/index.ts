import type { GatewayServices } from '../../../../src/adapters/connect';

/** Stubs of the calls that a gateway serves to other gateways. */
export const buildStubServices = (): Omit<GatewayServices, 'handleKnowledge'> => ({
  lendRetry: () => false,
  handleReturnedRetry: () => undefined,
  recordToldPrompt: () => undefined,
  handleReservation: () => 0,
  handlePermit: () => ({ isGranted: true, waitMs: 0 }),
  releasePermit: () => undefined,
  handleRoomRequest: async () => ({ isGranted: true, waitMs: 0 }),
  releaseRoom: () => undefined,
  handleReachRequest: async () => ({ reachedIds: [], reachesAny: false, running: 0 }),
  handleReport: () => null,
  handleRequest: async () => ({ heldMs: 0, isCutOff: true, tables: [] }),
  handleScheduleRequest: () => ({ isOwner: false, decisions: [] }),
  handleDelivery: () => false,
  handleLoadReport: () => [],
  handleLoadExchange: () => null,
});
