import test from 'ava';
import { BackendHealth, SuspicionCause } from '../../../domain/types';
import { createHealthRegistry } from '..';

const suspicion = {
  backendServer: 'engine-1',
  cause: SuspicionCause.Silence,
  confirmed: false,
  vm: 'entry-1',
  epoch: 0,
};

// Guards against a recovered engine that gets no more work: a registry that applies updates in the
// order of arrival would let an older suspicion of a peer, arriving late, undo the recovery.
test('a late suspicion from a peer does not undo a recovery', (t) => {
  const registry = createHealthRegistry({ vm: 'entry-1' });
  const changes: string[] = [];
  registry.addListener((server, health) => changes.push(`${server} ${health}`));
  registry.recordSuspicion(suspicion);
  registry.recordSuspicion({ ...suspicion, confirmed: true });
  registry.recordSuspicion(suspicion);
  t.is(registry.readHealth('engine-1'), BackendHealth.Dead);
  const earlierSuspicions = registry.listSuspicions();
  registry.recordRecovery('engine-1');
  earlierSuspicions.forEach((earlier) => registry.recordSuspicion({ ...earlier, vm: 'entry-2' }));
  t.is(registry.readHealth('engine-1'), BackendHealth.Serving);
  registry.recordLeaving('engine-1', true);
  registry.recordSuspicion({ ...suspicion, vm: 'entry-2', epoch: 9, confirmed: true });
  t.deepEqual(changes, [
    'engine-1 suspected',
    'engine-1 dead',
    'engine-1 serving',
    'engine-1 leaving',
    'engine-1 dead',
  ]);
});
