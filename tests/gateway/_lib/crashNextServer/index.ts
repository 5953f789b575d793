import { takeNextRequest, type TakenRequest } from '../takeNextRequest';
import type { TestGateway } from '../startTestGateway';

/** Lets the next server that gets a request begin to run it, if it is a stream, and end. */
export const crashNextServer = async (
  { servers }: Pick<TestGateway, 'servers'>,
  { begins }: { readonly begins: boolean } = { begins: true },
): Promise<TakenRequest> => {
  const taken = await takeNextRequest(servers);
  if (begins) taken.server.startStream(taken.request);
  await taken.server.crash();
  return taken;
};
