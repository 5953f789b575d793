import { takeNextRequest, type TakenRequest } from '../takeNextRequest';
import type { TestGateway } from '../startTestGateway';

/** Crashes the next server that receives a request; with `begins`, after the response has begun. */
export const crashNextServer = async (
  { servers }: Pick<TestGateway, 'servers'>,
  { begins }: { readonly begins: boolean } = { begins: true },
): Promise<TakenRequest> => {
  const taken = await takeNextRequest(servers);
  if (begins) taken.server.startStream(taken.request);
  await taken.server.crash();
  return taken;
};
