import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createLimitOwner, type LimitOwner } from '.';

const ask = (owner: LimitOwner, sender: string) =>
  owner.handlePermitRequest({
    sender,
    server: 'i-1',
    limitPerS: 1,
    sentAgesMs: [],
    isConfirmation: false,
  });

/** Creates an owner that granted a permit to `a` and, as soon as it could, one to `b`. */
const createUsedOwner = () => {
  const clock = createFakeClock();
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
  ['a', 'c'].forEach((sender) => owner.releasePermit({ sender, server: 'i-1' }));
  t.false(ask(owner, 'd').isGranted);
  owner.releasePermit({ sender: 'b', server: 'i-1' });
  t.true(ask(owner, 'd').isGranted);
});

test('a release without a sender takes back the newest permit', (t) => {
  const owner = createUsedOwner();
  t.false(ask(owner, 'c').isGranted);
  owner.releasePermit({ sender: '', server: 'i-1' });
  t.true(ask(owner, 'c').isGranted);
});
