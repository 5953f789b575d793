import test from 'ava';
import type { OutputLengthSamples } from '../types';
import { addOutputSample, MAX_OUTPUT_SAMPLES } from '../addOutputSample';
import { predictOutputTokens } from '.';

const ONE_TO_HUNDRED = { tokens: Array.from({ length: 100 }, (_, index) => index + 1) };

test('predicts the median length, up to the limit of the request', (t) => {
  t.is(predictOutputTokens(ONE_TO_HUNDRED, 1000), 51);
  t.is(predictOutputTokens(ONE_TO_HUNDRED, 40), 40);
  t.is(predictOutputTokens({ tokens: [1, 2, 3] }, 1000), 1000);
});

test('old samples are dropped, so that the prediction follows a change', (t) => {
  let samples: OutputLengthSamples = ONE_TO_HUNDRED;
  for (let index = 0; index < MAX_OUTPUT_SAMPLES; index += 1)
    samples = addOutputSample(samples, 500);
  t.is(samples.tokens.length, MAX_OUTPUT_SAMPLES);
  t.is(predictOutputTokens(samples, 1000), 500);
});
