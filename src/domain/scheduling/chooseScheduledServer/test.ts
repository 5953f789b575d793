import test from 'ava';
import { buildScheduledServer, buildStreamDemand } from '../../../../standins/fakes';
import { chooseScheduledServer } from '.';

const OPTIONS = {
  goalMs: 4000,
  isLastChance: false,
  ignoresLimits: false,
  isBackupRequired: false,
};
const demand = buildStreamDemand('t');

test('the server on which the stream ends first is chosen, then the zone of the VM', (t) => {
  const slow = { prefillMsPerToken: 0.3, decodeMsPerToken: 9, callMs: 0, workFactor: 1 };
  const servers = [
    buildScheduledServer('busy', { runs: 2 }),
    buildScheduledServer('slow', { pace: slow }),
    buildScheduledServer('far', { availabilityZone: 'zb' }),
    buildScheduledServer('near'),
  ];
  t.is(chooseScheduledServer(servers, demand, OPTIONS)?.server.id, 'near');
  t.is(chooseScheduledServer(servers.slice(0, 3), demand, OPTIONS)?.server.id, 'far');
  t.is(chooseScheduledServer([], demand, OPTIONS), null);
});

test('the copy goes to the emptiest server of another zone', (t) => {
  const servers = [
    buildScheduledServer('a'),
    buildScheduledServer('b1', { availabilityZone: 'zb', runs: 3, kvUsedTokens: 27_000 }),
    buildScheduledServer('b2', { availabilityZone: 'zb', runs: 4, kvUsedTokens: 9000 }),
  ];
  const choice = chooseScheduledServer(servers, { ...demand, needsBackup: true }, OPTIONS);
  t.is(choice?.server.id, 'a');
  t.is(choice?.backup?.id, 'b2');
  t.is(chooseScheduledServer(servers, demand, OPTIONS)?.backup, null);
});

test('a stream that needs a backup does not begin where no other zone has memory for it', (t) => {
  const servers = [
    buildScheduledServer('a'),
    buildScheduledServer('b', { availabilityZone: 'zb', runs: 5, kvUsedTokens: 66_000 }),
  ];
  const needing = { ...demand, needsBackup: true };
  const required = { ...OPTIONS, isBackupRequired: true };
  t.is(chooseScheduledServer(servers, needing, required)?.server.id, 'b');
  t.is(chooseScheduledServer(servers.slice(0, 1), needing, required), null);
  t.is(chooseScheduledServer(servers.slice(0, 1), needing, OPTIONS)?.backup, null);
});

test('a stream that lost its server begins beyond the limits', (t) => {
  const full = [buildScheduledServer('a', { runs: 12, pendingPrefillMs: 900 })];
  t.is(chooseScheduledServer(full, demand, OPTIONS), null);
  const choice = chooseScheduledServer(full, demand, { ...OPTIONS, ignoresLimits: true });
  t.is(choice?.firstEventMs, 1900);
});
