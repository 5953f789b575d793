import type { GatewayServices } from '../../../../src/adapters/connect';

/** What a gateway does that others may call and that has nothing to tell. */
export const buildStubServices = (): Omit<GatewayServices, 'handleKnowledge'> => ({
  lendRetry: () => false,
  recordToldPrompt: () => undefined,
  handleReservation: () => 0,
  handlePermit: () => ({ isGranted: true, waitMs: 0 }),
  releasePermit: () => undefined,
  handleReport: () => null,
  handleRequest: async () => ({ heldMs: 0, isCutOff: true, tables: [] }),
});
