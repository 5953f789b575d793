import test from 'ava';
import { hasQueueRoom } from '.';

test('a large workspace cannot fill the queue, a small one still finds room', (t) => {
  const full = { waiting: 50, waitingOfWorkspace: 50, bound: 100, relativeWeight: 1 };
  t.false(hasQueueRoom(full));
  t.true(hasQueueRoom({ ...full, waitingOfWorkspace: 0 }));
  t.true(hasQueueRoom({ ...full, waitingOfWorkspace: 0, relativeWeight: 0.001 }));
  t.true(hasQueueRoom({ ...full, relativeWeight: 2 }));
});

test('the bound holds for everyone, also when it is 0', (t) => {
  const state = { waiting: 3, waitingOfWorkspace: 0, bound: 3, relativeWeight: 10 };
  t.false(hasQueueRoom(state));
  t.false(hasQueueRoom({ ...state, waiting: 0, bound: 0 }));
});
