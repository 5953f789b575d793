import type { Child, RunContext } from '../../types';

const findServer = (context: RunContext, caller: string): string | undefined =>
  context
    .listDecisions()
    .filter((decision) => decision.requestId === caller && decision.choice !== '')
    .at(-1)?.choice;

/**
 * Finds the processes that a step names: a process, `all of zone-a`, or `server of review-1` (the
 * backend server chosen last for that caller).
 */
export function findChildren(context: RunContext, target: string): readonly Child[] {
  const { children } = context.deployment;
  const [, kind, name = ''] = /^(server|all) of (\S+)$/u.exec(target) ?? [];
  if (kind === 'all') {
    return [...children.values()].filter((child) => child.availabilityZone === name);
  }
  const child = children.get(kind === 'server' ? (findServer(context, name) ?? '') : target);
  return child === undefined ? [] : [child];
}
