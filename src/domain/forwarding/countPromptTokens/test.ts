import test from 'ava';
import { countPromptTokens } from '.';

test('a generation counts the tokens of its prompt, another request none', (t) => {
  t.is(countPromptTokens({ tokens: { prompt: 8200, maxOutput: 900 } }), 8200);
  t.is(countPromptTokens({ tokens: null }), 0);
});
