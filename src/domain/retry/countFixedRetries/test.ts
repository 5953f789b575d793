import test from 'ava';
import { countFixedRetries } from '.';

test('the fixed retries are whole ones, and never more than the bound', (t) => {
  t.deepEqual(
    [0, 1, 10, 150].map((retryExtra) => countFixedRetries({ retryExtra })),
    [0, 0, 9, 142],
  );
});
