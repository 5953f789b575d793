import test from 'ava';
import type { AttemptEnd } from '../types';
import { judgeAttemptEnd } from '.';

const judge = (end: Partial<AttemptEnd>) =>
  judgeAttemptEnd({
    connection: 'reset',
    relay: null,
    progress: 'none',
    sentAtMs: 900,
    beganAtMs: 1000,
    heardSinceMs: 1000,
    endedAtMs: 1040,
    ...end,
  });

test('a connection that broke off early counts at once, whichever VM held it', (t) => {
  for (const connection of ['reset', 'closed'] as const) {
    for (const progress of ['none', 'head', 'events'] as const) {
      t.is(judge({ connection, progress }), 'suspect');
      t.is(judge({ connection, progress, relay: 'vm-2' }), 'suspect');
    }
  }
});

test('a run that broke off long after it began is late evidence, unless it had sent no event', (t) => {
  for (const connection of ['reset', 'closed', 'unseen'] as const)
    t.is(judge({ connection, progress: 'events', endedAtMs: 2001 }), 'late');
  t.is(judge({ progress: 'head', endedAtMs: 9000 }), 'suspect');
});

test('an end that may have other causes counts only once it is confirmed', (t) => {
  t.is(judge({ connection: 'silent', endedAtMs: 5000 }), 'check');
  t.is(judge({ connection: 'silent', progress: 'events', endedAtMs: 5000 }), 'check');
  t.is(judge({ connection: 'unseen' }), 'check');
  t.is(judge({ connection: 'closed', progress: 'whole' }), 'check');
  t.is(judge({ connection: 'dropped', endedAtMs: 1200 }), 'check');
});

test('a server that was heard of for long before it fell silent is late evidence', (t) => {
  t.is(judge({ connection: 'silent', progress: 'events', heardSinceMs: 4000 }), 'late');
});

test('an attempt that was not sent, met an answer to another, or was left at once is no evidence', (t) => {
  t.is(judge({ connection: 'unsent' }), 'none');
  t.is(judge({ connection: 'out-of-step', endedAtMs: 5000 }), 'none');
  t.is(judge({ connection: 'dropped' }), 'none');
  t.is(judge({ connection: 'dropped', progress: 'head', endedAtMs: 5000 }), 'none');
});

test('only a response that is complete by its framing is an answer', (t) => {
  t.is(judge({ connection: 'complete', progress: 'whole' }), 'answer');
  t.is(judge({ connection: 'closed', progress: 'whole', endedAtMs: 9000 }), 'none');
});
