import test from 'ava';
import { updateUndisturbedEstimate } from '.';

test('the estimate stays low through a burst of high values, and follows a lasting change', (t) => {
  const undisturbed = [100, 20, 20, 20, 20, 20, 20, 20, 20, 20].reduce(
    updateUndisturbedEstimate,
    0,
  );
  t.true(undisturbed < 25);
  const afterBurst = [200, 200, 200].reduce(updateUndisturbedEstimate, undisturbed);
  t.true(afterBurst < 40);
  t.true(Array(200).fill(200).reduce(updateUndisturbedEstimate, undisturbed) > 190);
});
