import type { StandInServer } from '../../../../standins/gateway';
import { takeNextRequest } from '../takeNextRequest';
import type { TestGateway } from '../startTestGateway';

/** Sends a lookup, and answers it where it arrives; returns that server. */
export const callAnyServer = async (
  bench: TestGateway,
  {
    headers = {},
    id,
  }: { readonly id: string; readonly headers?: Readonly<Record<string, string>> },
): Promise<StandInServer> => {
  const answered = bench.send({ target: '/safe/x', id });
  const { request, server } = await takeNextRequest(bench.servers);
  server.answer(request, 200, 'yes', headers);
  await answered;
  return server;
};
