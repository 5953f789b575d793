import test from 'ava';
import { parseScenario } from '.';

const HEADING = '# symptom: a\n# sequence: b\n# cause: c\n# without: d\n';
const STEP = '[[step]]\ndo = "send"\nname = "review-1"\n';
const EXPECT = '[[expect]]\nthat = "whole"\nof = "review-1"\n';

test('reads a scenario and fills in what it leaves out', (t) => {
  const { name, scenario } = parseScenario(
    'x/kill.scenario.toml',
    HEADING + STEP + EXPECT,
  )._unsafeUnwrap();
  t.is(name, 'kill');
  t.is(scenario.deployment.engines, 2);
  t.like(scenario.step[0], { do: 'send', entry: 'entry-1', via: 'plain', when: '' });
});

// Symptom: a scenario passes although it checks nothing.
// Sequence: a key is misspelt, an event cannot be read, the heading does not say what it shows.
// Cause: a reader that ignores what it does not know.
test('names every fault of a file', (t) => {
  const fault = (text: string): string => parseScenario('f', text)._unsafeUnwrapErr();
  t.regex(fault(STEP + EXPECT), /"# without:"/u);
  t.regex(fault(`${HEADING}${STEP}when = "in 3 s"\n${EXPECT}`), /no such event: "in 3 s"/u);
  t.regex(fault(`${HEADING}${STEP}tokenz = 3\n${EXPECT}`), /step\.0: .*tokenz/u);
  t.regex(fault(HEADING + STEP), /expect/u);
  t.regex(fault(`${HEADING}[[step`), /^f: /u);
});
