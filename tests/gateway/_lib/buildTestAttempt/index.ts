import { HEADERS } from '../../../../platform';
import type { AttemptRequest } from '../../../../src/application/ports';

/** Builds an attempt of a request without a body at a server. */
export const buildTestAttempt = (address: string, id: string): AttemptRequest => ({
  server: {
    id,
    service: 's',
    address,
    availabilityZone: 'z1',
    slots: 1,
    isLeaving: false,
    version: 'v1',
    warmupLeftMs: 0,
    bornMs: null,
    sequence: 0,
  },
  request: {
    requestId: 'request-1',
    method: 'GET',
    target: '/x',
    host: 'a.example',
    forwardedHeaders: ['Host', 'a.example', HEADERS.requestId, 'request-1'],
    body: Buffer.alloc(0),
    key: null,
    deadlineMs: null,
    arrivedAtMs: 0,
    sentSinceMs: 0,
    lastEventId: null,
    tokens: null,
    promptParts: [],
  },
  workspace: null,
  priority: 5,
  remainingMs: 1000,
  lastEventId: null,
  backupAddress: null,
  copy: null,
  newConnection: false,
});
