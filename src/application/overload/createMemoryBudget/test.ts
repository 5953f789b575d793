import test from 'ava';
import { MemoryUse, type MemoryLimits } from '../../../domain/overload';
import { createMemoryBudget } from '.';

const createFixture = (limits: MemoryLimits | null) => {
  const messages: string[] = [];
  const record = (message: string): void => {
    messages.push(message);
  };
  const budget = createMemoryBudget({ limits, log: { info: record, warn: record, error: record } });
  return { budget, messages };
};

const LIMITS = { stream: 100, call: 200, answer: 300, 'large-answer': 50 };

test('streams are refused first, then calls, then answers', (t) => {
  const { budget } = createFixture(LIMITS);
  t.true(budget.openRequest().acquire(MemoryUse.Stream, 100));
  t.false(budget.openRequest().acquire(MemoryUse.Stream, 1));
  t.true(budget.openRequest().acquire(MemoryUse.Call, 100));
  t.false(budget.openRequest().acquire(MemoryUse.Call, 1));
  t.true(budget.openRequest().acquire(MemoryUse.Answer, 100));
  t.false(budget.openRequest().acquire(MemoryUse.Answer, 1));
  t.is(budget.readHeldBytes(), 300);
  t.is(budget.countRefused(), 3);
});

// Guards against a budget that stays exhausted: bytes that are given back twice or never.
test('an exhausted budget recovers, and says so once per change', (t) => {
  const { budget, messages } = createFixture(LIMITS);
  const first = budget.openRequest();
  first.acquire(MemoryUse.Stream, 60);
  first.recordUnsent(40);
  const second = budget.openRequest();
  t.false(second.acquire(MemoryUse.Stream, 10));
  t.false(second.acquire(MemoryUse.Stream, 10));
  first.recordUnsent(10);
  t.deepEqual(messages, ['gateway overloaded']);
  first.release();
  first.release();
  first.recordUnsent(50);
  t.is(budget.readHeldBytes(), 0);
  t.deepEqual(messages, ['gateway overloaded', 'gateway recovered']);
  t.true(second.acquire(MemoryUse.Stream, 10));
});

test('a request that is alone is taken whatever its size', (t) => {
  const { budget } = createFixture(LIMITS);
  const alone = budget.openRequest();
  t.true(alone.acquire(MemoryUse.Stream, 5000));
  t.true(alone.acquire(MemoryUse.Answer, 5000));
  t.false(budget.openRequest().acquire(MemoryUse.Call, 1));
});

test('without limits nothing is refused, and bytes are still counted', (t) => {
  const { budget, messages } = createFixture(null);
  t.true(budget.openRequest().acquire(MemoryUse.Stream, 1e12));
  t.true(budget.openRequest().acquire(MemoryUse.Stream, 1e12));
  t.is(budget.readHeldBytes(), 2e12);
  t.deepEqual(messages, []);
});

// Guards against a VM that refuses all callers while a few servers send answers without end.
test('large answers leave room for other requests, and a single one is taken', (t) => {
  const { budget, messages } = createFixture(LIMITS);
  const alone = budget.openRequest();
  t.true(alone.acquire(MemoryUse.LargeAnswer, 60));
  t.true(alone.acquire(MemoryUse.LargeAnswer, 60));
  const second = budget.openRequest();
  t.false(second.acquire(MemoryUse.LargeAnswer, 1));
  t.true(second.acquire(MemoryUse.Call, 50));
  t.deepEqual(messages, []);
  alone.release();
  t.true(second.acquire(MemoryUse.LargeAnswer, 50));
});
