import { takeNextRequest } from '../takeNextRequest';
import type { TestAnswer, TestGateway, TestRequest } from '../startTestGateway';

/** Sends a request that the gateway should refuse; resolves to null if a server receives it. */
export const sendExpectingRefusal = (
  harness: TestGateway,
  request: TestRequest,
): Promise<TestAnswer | null> =>
  Promise.race([harness.send(request), takeNextRequest(harness.servers).then(() => null)]);
