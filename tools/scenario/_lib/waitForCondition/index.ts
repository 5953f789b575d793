import { parseCondition } from '../../parseCondition';
import { renderState } from '../renderState';
import { readVersion } from '../readVersion';
import type { Condition, RunContext } from '../../types';

const PROBE_INTERVAL_MS = 20;

/** Returns whether the entry's `/readyz` answers that it is ready. */
const probeReadiness = async (context: RunContext, name: string): Promise<boolean> => {
  try {
    const response = await fetch(`${context.deployment.readUrl(name)}/readyz`);
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
};

/** Polls until `probe` returns true or the run has ended, at the latest at its timeout. */
const probeUntil = async (context: RunContext, probe: () => Promise<boolean>): Promise<void> => {
  while (!context.isStopped() && !(await probe())) {
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
  token: async ({ name, count }, { notifier, callers }) => {
    const state = await notifier.waitFor(() => {
      const now = callers.get(name)?.readState();
      return now && (now.tokenIds.length >= count || now.end !== null) ? now : null;
    });
    if (state.tokenIds.length >= count) return;
    throw new Error(`${name}: ${renderState(state)} before token ${count}`);
  },
  end: ({ name }, { notifier, callers }) =>
    notifier.waitFor(() => callers.get(name)?.readState().end ?? null),
  route: ({ name }, context) =>
    context.notifier.waitFor(
      () =>
        context
          .listDecisions()
          .some((decision) => decision.requestId === name && decision.choice !== '') || null,
    ),
  exit: ({ name }, { notifier, deployment }) =>
    notifier.waitFor(() => deployment.children.get(name)?.readExitStatus() ?? null),
  ready: ({ name }, context) => probeUntil(context, () => probeReadiness(context, name)),
  unready: ({ name }, context) =>
    probeUntil(context, async () => !(await probeReadiness(context, name))),
  version: ({ name, count }, context) =>
    probeUntil(context, async () => (await readVersion(context, name)) >= count),
  reads: ({ count }, context) =>
    probeUntil(context, async () => {
      const counts = await context.deployment.readControl('platform', 'vmList/counts');
      return (counts as { readonly reads: number }).reads >= count;
    }),
  calls: ({ name, count }, { deployment }) =>
    deployment.readControl(name, `wait-for-calls?count=${count}`),
  lines: ({ text, count }, { notifier, deployment }) =>
    notifier.waitFor(() => {
      const lines = deployment.started.flatMap((child) => child.lines);
      return lines.filter((line) => line.includes(text)).length >= count || null;
    }),
  log: ({ name, text }, context) => context.notifier.waitFor(() => findLine(context, name, text)),
};

/** Waits for the condition that a step names; returns at once for an empty text. */
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
