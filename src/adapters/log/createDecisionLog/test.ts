import test from 'ava';
import type { RoutingDecision } from '../../../domain/types';
import { createDecisionLog } from '.';

const buildDecision = (requestId: string, choice: string): RoutingDecision => ({
  kind: 'route',
  requestId,
  workspace: 'counter',
  service: 'review',
  candidates: [choice],
  filtered: [{ backendServer: 'engine-9', reason: 'place not allowed' }],
  choice,
  reason: 'least loaded',
  configurationVersion: 3,
});

test('each decision is one line, and the newest are listed, oldest first', (t) => {
  const lines: unknown[] = [];
  const info = (context: unknown, message: string): void => {
    lines.push([message, context]);
  };
  const log = createDecisionLog({ logger: { info, warn: info, error: info } }, { capacity: 3 });
  const decisions = ['a', 'b', 'c', 'd'].map((choice) => buildDecision('req_1', choice));
  decisions.forEach(log.record);
  log.record(buildDecision('req_2', 'e'));
  t.deepEqual(log.listDecisions('req_1'), decisions.slice(2));
  t.deepEqual(lines[0], ['route', { decision: decisions[0] }]);
  t.is(lines.length, 5);
});
