import test from 'ava';
import { parseScenario } from '.';

const HEADING = '# symptom: a\n# sequence: b\n# cause: c\n# without: d\n';
const STEP = '[[step]]\ndo = "send"\nname = "review-1"\n';
const EXPECT = '[[expect]]\nthat = "whole"\nof = "review-1"\n';

test('parses a scenario and fills in the defaults', (t) => {
  const { name, scenario } = parseScenario(
    'x/kill.scenario.toml',
    HEADING + STEP + EXPECT,
  )._unsafeUnwrap();
  t.is(name, 'kill');
  t.is(scenario.deployment.engines, 2);
  t.like(scenario.step[0], { do: 'send', entry: 'entry-1', via: 'plain', when: '' });
});

// Guards against a scenario that passes without checking anything: a parser that ignored a misspelt
// key, an unknown condition or an incomplete heading would accept it.
test('reports misspelt keys, unknown conditions, missing headings and invalid TOML', (t) => {
  const fault = (text: string): string => parseScenario('f', text)._unsafeUnwrapErr();
  t.regex(fault(STEP + EXPECT), /"# without:"/u);
  t.regex(fault(`${HEADING}${STEP}when = "in 3 s"\n${EXPECT}`), /unknown condition: "in 3 s"/u);
  t.regex(fault(`${HEADING}${STEP}tokenz = 3\n${EXPECT}`), /step\.0: .*tokenz/u);
  t.regex(fault(HEADING + STEP), /expect/u);
  t.regex(fault(`${HEADING}[[step`), /^f: /u);
});
