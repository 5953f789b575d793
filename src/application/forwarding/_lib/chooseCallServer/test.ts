import test from 'ava';
import { buildServerStatus } from '../../../../../standins/fakes';
import type { ForwardContext, ForwardingDependencies } from '../../types';
import { chooseCallServer } from '.';

const choose = (fullIds: readonly string[], isRepeat: boolean) =>
  chooseCallServer(
    { availabilityZone: 'z1', randomness: { readFraction: () => 0 } } as ForwardingDependencies,
    {
      servers: {
        list: () =>
          ['a', 'b'].map((id) => buildServerStatus(id, 'z1', { isFull: fullIds.includes(id) })),
      },
    } as unknown as ForwardContext,
    { excludedIds: new Set(['a']), isRepeat, readPace: null, fleet: null },
  )?.entry.id ?? null;

// Guards against retries that are spent on servers known to refuse, and are missing where they serve.
test('a repeat goes to no server that refused a request a moment ago', (t) => {
  t.is(choose([], true), 'b');
  t.is(choose(['b'], true), null);
});

test('a first attempt may go to such a server', (t) => {
  t.is(choose(['b'], false), 'b');
});
