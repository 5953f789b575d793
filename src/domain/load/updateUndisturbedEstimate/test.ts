import test from 'ava';
import { updateUndisturbedEstimate } from '.';

test('stays near the undisturbed value through a burst, and follows a lasting change', (t) => {
  const base = [100, 20, 20, 20, 20, 20, 20, 20, 20, 20].reduce(updateUndisturbedEstimate, 0);
  t.true(base < 25);
  const burst = [200, 200, 200].reduce(updateUndisturbedEstimate, base);
  t.true(burst < 40);
  t.true(Array(200).fill(200).reduce(updateUndisturbedEstimate, base) > 190);
});
