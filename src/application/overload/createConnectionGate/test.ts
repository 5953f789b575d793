import test from 'ava';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import { createSimulatedProcessor } from '../../../../standins/overload';
import { createConnectionGate } from '.';

const setUp = () => {
  const clock = createFakeClock();
  const processor = createSimulatedProcessor(clock);
  const gate = createConnectionGate({
    clock: processor.clock,
    log: QUIET_LOG,
    readGoalMs: () => 100,
  });
  /** Opens connections for a second, each of which takes the processor that long; counts accepted. */
  const openConnections = (perS: number, costMs: number): number => {
    let accepted = 0;
    for (let index = 0; index < perS; index += 1) {
      clock.advance(1000 / perS);
      if (gate.acceptConnection()) {
        accepted += 1;
        processor.run(costMs, () => undefined);
      }
    }
    return accepted;
  };
  return { clock, gate, openConnections, processor };
};

test('all connections are read while the VM is in time', (t) => {
  const { gate, openConnections } = setUp();
  for (let second = 0; second < 5; second += 1) t.is(openConnections(100, 5), 100);
  t.is(gate.countClosed(), 0);
});

test('a VM that is late closes connections unread, but some it always reads', (t) => {
  const { openConnections } = setUp();
  for (let second = 0; second < 5; second += 1) openConnections(200, 20);
  let accepted = 0;
  for (let second = 0; second < 10; second += 1) accepted += openConnections(200, 20);
  // The processor does 50 a second.
  t.true(accepted > 0 && accepted < 10 * 50 * 1.2, `${accepted}`);
});

test('the limit ends some seconds after it was last used', (t) => {
  const { clock, openConnections } = setUp();
  for (let second = 0; second < 3; second += 1) openConnections(200, 20);
  for (let second = 0; second < 20; second += 1) openConnections(5, 5);
  t.is(openConnections(100, 5), 100);
  clock.advance(5000);
  t.is(clock.countTimers(), 0);
});

test('a single pause of the process closes no connection', (t) => {
  const { gate, openConnections, processor } = setUp();
  openConnections(50, 1);
  processor.run(200, () => undefined);
  openConnections(50, 1);
  t.is(gate.countClosed(), 0);
});
