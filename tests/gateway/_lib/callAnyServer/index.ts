import type { StandInServer } from '../../../../standins/gateway';
import { takeNextRequest } from '../takeNextRequest';
import type { TestGateway } from '../startTestGateway';

/** Sends a lookup, answers it with `headers`, and returns the server that received it. */
export const callAnyServer = async (
  harness: TestGateway,
  {
    headers = {},
    id,
  }: { readonly id: string; readonly headers?: Readonly<Record<string, string>> },
): Promise<StandInServer> => {
  const answered = harness.send({ target: '/safe/x', id });
  const { request, server } = await takeNextRequest(harness.servers);
  server.answer(request, 200, 'yes', headers);
  await answered;
  return server;
};
