import test from 'ava';
import { parseCondition } from '.';

test('parses the conditions of the scenario language and rejects other texts', (t) => {
  t.deepEqual(parseCondition('token 40 of review-1')._unsafeUnwrap(), {
    kind: 'token',
    count: 40,
    name: 'review-1',
  });
  t.deepEqual(parseCondition('log "lease lost" of keeper-1')._unsafeUnwrap(), {
    kind: 'log',
    text: 'lease lost',
    name: 'keeper-1',
  });
  ['after 3 s', 'token x of review-1', 'end of', ''].forEach((text) =>
    t.true(parseCondition(text).isErr(), text),
  );
});
