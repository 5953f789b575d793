import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { PERMIT_WINDOW_MS } from '../../../domain/limits';
import { createLimitOwner, type LimitOwner } from '.';

const ask = (owner: LimitOwner, sender: string, id = '') =>
  owner.handlePermitRequest({
    sender,
    id,
    server: 'i-1',
    limitPerS: 1,
    sentAgesMs: [],
    isConfirmation: false,
  });

/** Creates an owner that granted a permit to `a` and, as soon as it could, one to `b`. */
const createUsedOwner = (clock = createFakeClock()) => {
  const owner = createLimitOwner({
    clock,
    limits: { readLimitPerS: () => null },
    randomness: { readFraction: () => 0, readHex: () => '' },
  });
  ask(owner, 'a');
  clock.advance(1000);
  ask(owner, 'b');
  return owner;
};

// Guards against more requests than a server takes: a VM that released an older permit, or none,
// removed the newest send of another VM, whose place was granted again.
test('a VM takes back its own permit and no other', (t) => {
  const owner = createUsedOwner();
  ['a', 'c'].forEach((sender) => owner.releasePermit({ sender, server: 'i-1', id: '' }));
  t.false(ask(owner, 'd').isGranted);
  owner.releasePermit({ sender: 'b', server: 'i-1', id: '' });
  t.true(ask(owner, 'd').isGranted);
});

test('a release without a sender takes back the newest permit', (t) => {
  const owner = createUsedOwner();
  t.false(ask(owner, 'c').isGranted);
  owner.releasePermit({ sender: '', server: 'i-1', id: '' });
  t.true(ask(owner, 'c').isGranted);
});

// Guards against more requests than a server takes: a permit that was given back after its time freed
// the place of a newer one of the same VM.
test('a permit that is given back late frees no other one of its VM', (t) => {
  const clock = createFakeClock();
  const owner = createUsedOwner(clock);
  clock.advance(PERMIT_WINDOW_MS);
  t.true(ask(owner, 'a', 'old').isGranted);
  clock.advance(PERMIT_WINDOW_MS);
  t.true(ask(owner, 'a', 'new').isGranted);
  owner.releasePermit({ sender: 'a', server: 'i-1', id: 'old' });
  t.false(ask(owner, 'd').isGranted);
  owner.releasePermit({ sender: 'a', server: 'i-1', id: 'new' });
  t.true(ask(owner, 'd').isGranted);
});
