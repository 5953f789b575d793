import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import { createStoreClockConverter } from '.';

test('an answer to a call that waited is as young as itself, not as the call', (t) => {
  const clock = createFakeClock();
  const time = createStoreClockConverter(clock);
  clock.advance(1000);
  // The store's clock is 70 s ahead; this call took 4 ms.
  clock.advance(4);
  t.is(time.convertAnswer({ sentAtMs: 1000, storeMs: 71_002 }), 1000);
  clock.advance(2500);
  t.is(time.convertAnswer({ sentAtMs: 1004, storeMs: 73_502 }), 3500);
});

test('an answer that was long on its way is as old as that', (t) => {
  const clock = createFakeClock();
  const time = createStoreClockConverter(clock);
  clock.advance(4);
  time.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(900);
  t.is(time.convertAnswer({ sentAtMs: 4, storeMs: 70_010 }), 8);
});

test('a clock that begins anew, or none, leaves the time at which the call was sent', (t) => {
  const clock = createFakeClock();
  const time = createStoreClockConverter(clock);
  clock.advance(4);
  time.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(96);
  t.is(time.convertAnswer({ sentAtMs: 50, storeMs: 3 }), 50);
  t.is(time.convertAnswer({ sentAtMs: 60, storeMs: null }), 60);
});

test('an answer is never taken for later than it came, also after the local clock stood still', (t) => {
  const clock = createFakeClock();
  const time = createStoreClockConverter(clock);
  clock.advance(4);
  time.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(10);
  t.is(time.convertAnswer({ sentAtMs: 6, storeMs: 78_012 }), 6);
});
