import { nextAnywhere, type Taken } from '../nextAnywhere';
import type { TestGateway } from '../startTestGateway';

/** Lets the next server that gets a request begin to run it, if it is a stream, and end. */
export const crashNext = async (
  { servers }: Pick<TestGateway, 'servers'>,
  { begins }: { readonly begins: boolean } = { begins: true },
): Promise<Taken> => {
  const taken = await nextAnywhere(servers);
  if (begins) taken.server.startStream(taken.request);
  await taken.server.crash();
  return taken;
};
