import test from 'ava';
import type { DemandPurpose } from '../../types';
import { addRetryCredit, RETRY_BURST } from '../addRetryCredit';
import { acquireRetryCredit } from '.';

const countGranted = (credits: number, purpose: DemandPurpose): number => {
  let budget: { readonly credits: number } | null = { credits };
  let granted = -1;
  while (budget !== null) {
    granted += 1;
    budget = acquireRetryCredit(budget, purpose);
  }
  return granted;
};

test('retries are limited to their fraction of first attempts, plus a bounded burst', (t) => {
  let budget = { credits: 0 };
  for (let index = 0; index < 100; index += 1) budget = addRetryCredit(budget, 0.125);
  t.is(countGranted(budget.credits, 'start'), 12);
  for (let index = 0; index < 10_000; index += 1) budget = addRetryCredit(budget, 0.125);
  t.is(budget.credits, RETRY_BURST);
});

test('resumes may overdraw the budget by a bounded number, hedges may not', (t) => {
  t.is(countGranted(0, 'resume'), RETRY_BURST);
  t.is(countGranted(0, 'hedge'), 0);
});
