import test from 'ava';
import { createStreamFixture } from '../../../../standins/model';
import { createForwarder } from '.';

test('the goal of a caller that came back counts from its first attempt', async (t) => {
  const { clock, context, dependencies, state } = createStreamFixture();
  const forwarder = createForwarder(dependencies);
  const request = { ...context.request, deadlineMs: 25_000 };
  forwarder.forwardRequest(request, context.reply);
  await clock.advanceAsync(6000);
  forwarder.forwardRequest({ ...request, deadlineMs: 19_000, arrivedAtMs: 6000 }, context.reply);
  await clock.advanceAsync(0);
  const demands = state.asked.map(({ readDemand }) => readDemand());
  t.deepEqual(
    demands.map(({ goalAtMs, isReturning }) => [goalAtMs, isReturning]),
    [
      [4500, false],
      [4500, true],
    ],
  );
});

test('at shutdown streams that wait are refused with the same time as new ones', async (t) => {
  const { clock, context, dependencies, state } = createStreamFixture();
  const forwarder = createForwarder(dependencies);
  const waiting = forwarder.forwardRequest(context.request, context.reply);
  await clock.advanceAsync(0);
  forwarder.refuseStreams();
  await waiting;
  await forwarder.forwardRequest(context.request, context.reply);
  t.like(state.refusals[0], { kind: 'not-run', retryAfterMs: 50 });
  t.deepEqual(state.refusals[0], state.refusals[1]);
});
