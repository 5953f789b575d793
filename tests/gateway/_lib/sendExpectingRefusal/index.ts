import { takeNextRequest } from '../takeNextRequest';
import type { TestAnswer, TestGateway, TestRequest } from '../startTestGateway';

/** Sends a request that no server is to get; null if one did. */
export const sendExpectingRefusal = (
  bench: TestGateway,
  request: TestRequest,
): Promise<TestAnswer | null> =>
  Promise.race([bench.send(request), takeNextRequest(bench.servers).then(() => null)]);
