import test from 'ava';
import { request } from 'undici';
import { createStandInPlainService } from '.';

test('a call whose answer is dropped stands in the list of executed calls; a refused one does not', async (t) => {
  const service = await createStandInPlainService();
  t.teardown(service.stop);
  const call = (id: string) =>
    request(`${service.url}/bill`, {
      method: 'POST',
      headers: { 'jackdaw-request-id': id },
      body: '5',
    });
  service.addFault('drop-answer', 1);
  await t.throwsAsync(call('req_1'));
  service.addFault('refuse', 1);
  t.is((await call('req_2')).statusCode, 503);
  service.addFault('delay', 1);
  const held = call('req_3');
  await service.waitForCalls(2);
  service.releaseAnswers();
  t.is((await held).statusCode, 200);
  t.deepEqual(
    service.listCalls().map(({ requestId }) => requestId),
    ['req_1', 'req_3'],
  );
});
