import test from 'ava';
import { buildSampleConfiguration, createFakeClock } from '../../../../standins/fakes';
import { createScriptedEngines } from '../../../../tests/support/createScriptedEngines';
import { SuspicionCause } from '../../../domain/types';
import { createHealthRegistry, createProber } from '..';

const SUSPICION = {
  backendServer: 'engine',
  cause: SuspicionCause.Silence,
  confirmed: true,
  vm: 'entry-1',
  epoch: 0,
};

// Guards against an engine that answers probes but not its streams and flaps twice a second between
// dead and serving, because the probe delay does not grow with earlier suspicions.
test('a server recovers once it answers a probe, later after each new failure', async (t) => {
  const clock = createFakeClock();
  const engines = createScriptedEngines();
  const health = createHealthRegistry({ vm: 'entry-1' });
  const current = {
    version: 1,
    configuration: buildSampleConfiguration(),
    appliedAtMs: 0,
    appliedBy: '',
    comment: '',
  };
  const prober = createProber({
    clock,
    engineClient: engines.client,
    health,
    configuration: { readCurrent: () => current, addListener: () => () => undefined },
  });
  prober.start();
  engines.freeze('engine');
  health.recordSuspicion(SUSPICION);
  await clock.advanceAsync(5_000);
  t.is(health.readHealth('engine'), 'dead');
  engines.thaw('engine');
  await clock.advanceAsync(0);
  t.is(health.readHealth('engine'), 'serving');
  health.recordSuspicion(SUSPICION);
  await clock.advanceAsync(999);
  t.is(health.readHealth('engine'), 'dead');
  await clock.advanceAsync(1);
  t.is(health.readHealth('engine'), 'serving');
  prober.stop();
  t.is(clock.countTimers(), 0);
});
