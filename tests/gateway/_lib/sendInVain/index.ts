import { nextAnywhere } from '../nextAnywhere';
import type { TestAnswer, TestGateway, TestRequest } from '../startTestGateway';

/** Sends a request that no server is to get; null if one did. */
export const sendInVain = (bench: TestGateway, request: TestRequest): Promise<TestAnswer | null> =>
  Promise.race([bench.send(request), nextAnywhere(bench.servers).then(() => null)]);
