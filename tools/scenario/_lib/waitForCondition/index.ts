import { parseCondition } from '../../parseCondition';
import type { Condition, RunContext } from '../../types';

const PROBE_INTERVAL_MS = 20;

/** True once the entry's `/readyz` answers so. */
const probeReadiness = async (context: RunContext, name: string): Promise<boolean> => {
  try {
    const response = await fetch(`${context.deployment.readUrl(name)}/readyz`);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
};

/** Asks until the answer is as wanted; the scenario's own limit ends it. */
const waitForReadiness = async (
  context: RunContext,
  name: string,
  wanted: boolean,
): Promise<void> => {
  while (!context.stopped() && (await probeReadiness(context, name)) !== wanted) {
    await new Promise((resolve) => {
      setTimeout(resolve, PROBE_INTERVAL_MS);
    });
  }
};

const findLine = (context: RunContext, name: string, text: string): true | null =>
  (context.deployment.children.get(name)?.lines ?? []).some((line) => line.includes(text)) || null;

type Handlers = {
  readonly [K in Condition['kind']]: (
    condition: Extract<Condition, { kind: K }>,
    context: RunContext,
  ) => Promise<unknown>;
};

const HANDLERS: Handlers = {
  token: ({ name, count }, { board, callers }) =>
    board.waitFor(() => {
      const received = callers.get(name)?.readState().tokenIds.length ?? 0;
      return received >= count || null;
    }),
  end: ({ name }, { board, callers }) =>
    board.waitFor(() => callers.get(name)?.readState().end ?? null),
  route: ({ name }, context) =>
    context.board.waitFor(
      () =>
        context
          .listDecisions()
          .some((decision) => decision.requestId === name && decision.choice !== '') || null,
    ),
  exit: ({ name }, { board, deployment }) =>
    board.waitFor(() => deployment.children.get(name)?.exit() ?? null),
  ready: ({ name }, context) => waitForReadiness(context, name, true),
  unready: ({ name }, context) => waitForReadiness(context, name, false),
  log: ({ name, text }, context) => context.board.waitFor(() => findLine(context, name, text)),
};

/** Waits for the event that a step names; an empty text is no wait. */
export async function waitForCondition(context: RunContext, text: string): Promise<void> {
  if (text === '') return;
  const condition = parseCondition(text);
  if (condition.isErr()) throw new Error(condition.error);
  const { kind } = condition.value;
  await (HANDLERS[kind] as (value: Condition, context: RunContext) => Promise<unknown>)(
    condition.value,
    context,
  );
}
