import test from 'ava';
import { buildScheduledServer } from '../../../../standins/fakes';
import { isServerAllowed } from '.';

test('a server is allowed if it is usable, not excluded and of an allowed version', (t) => {
  const server = buildScheduledServer('a');
  t.true(isServerAllowed(server, { excludedServers: [], versions: [] }));
  t.true(isServerAllowed(server, { excludedServers: ['b'], versions: ['v1'] }));
  t.false(isServerAllowed(server, { excludedServers: ['a'], versions: [] }));
  t.false(isServerAllowed(server, { excludedServers: [], versions: ['v2'] }));
  t.false(isServerAllowed({ ...server, isUsable: false }, { excludedServers: [], versions: [] }));
});
