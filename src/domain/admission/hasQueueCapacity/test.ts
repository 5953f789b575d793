import test from 'ava';
import { hasQueueCapacity } from '.';

test('a busy workspace cannot fill the queue, so that others are still admitted', (t) => {
  const full = { waiting: 50, waitingOfWorkspace: 50, maxWaiting: 100, relativeWeight: 1 };
  t.false(hasQueueCapacity(full));
  t.true(hasQueueCapacity({ ...full, waitingOfWorkspace: 0 }));
  t.true(hasQueueCapacity({ ...full, waitingOfWorkspace: 0, relativeWeight: 0.001 }));
  t.true(hasQueueCapacity({ ...full, relativeWeight: 2 }));
});

test('the bound of the queue holds for any weight, also when it is 0', (t) => {
  const state = { waiting: 3, waitingOfWorkspace: 0, maxWaiting: 3, relativeWeight: 10 };
  t.false(hasQueueCapacity(state));
  t.false(hasQueueCapacity({ ...state, waiting: 0, maxWaiting: 0 }));
});
