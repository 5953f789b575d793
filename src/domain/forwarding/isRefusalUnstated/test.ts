import test from 'ava';
import { isRefusalUnstated } from '.';

test('a status that promises that nothing ran needs the word of the server', (t) => {
  [408, 421, 429, 503].forEach((status) => {
    t.true(isRefusalUnstated({ status, isNotExecuted: false }));
    t.false(isRefusalUnstated({ status, isNotExecuted: true }));
  });
});

test('other statuses promise nothing', (t) => {
  [200, 400, 404, 500, 502, 504].forEach((status) =>
    t.false(isRefusalUnstated({ status, isNotExecuted: false })),
  );
});
