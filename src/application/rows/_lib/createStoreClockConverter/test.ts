import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import { createStoreClockConverter } from '.';

test('the response to a long poll is dated by its own time, not by that of the call', (t) => {
  const clock = createFakeClock();
  const converter = createStoreClockConverter(clock);
  clock.advance(1000);
  // The store's clock is 70 s ahead; this call took 4 ms.
  clock.advance(4);
  t.is(converter.convertAnswer({ sentAtMs: 1000, storeMs: 71_002 }), 1000);
  clock.advance(2500);
  t.is(converter.convertAnswer({ sentAtMs: 1004, storeMs: 73_502 }), 3500);
});

test('a delayed response is dated by the time at which the store sent it', (t) => {
  const clock = createFakeClock();
  const converter = createStoreClockConverter(clock);
  clock.advance(4);
  converter.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(900);
  t.is(converter.convertAnswer({ sentAtMs: 4, storeMs: 70_010 }), 8);
});

test('without a store clock, or after its reset, the send time of the call is used', (t) => {
  const clock = createFakeClock();
  const converter = createStoreClockConverter(clock);
  clock.advance(4);
  converter.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(96);
  t.is(converter.convertAnswer({ sentAtMs: 50, storeMs: 3 }), 50);
  t.is(converter.convertAnswer({ sentAtMs: 60, storeMs: null }), 60);
});

test('a response is never dated later than its arrival, even after the local clock stopped', (t) => {
  const clock = createFakeClock();
  const converter = createStoreClockConverter(clock);
  clock.advance(4);
  converter.convertAnswer({ sentAtMs: 0, storeMs: 70_002 });
  clock.advance(10);
  t.is(converter.convertAnswer({ sentAtMs: 6, storeMs: 78_012 }), 6);
});
