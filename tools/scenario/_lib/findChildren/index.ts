import type { Child, RunContext } from '../../types';

const findServer = (context: RunContext, caller: string): string | undefined =>
  context
    .listDecisions()
    .filter((decision) => decision.requestId === caller && decision.choice !== '')
    .at(-1)?.choice;

const LEASE_TAKEN_TEXT = '"lease taken"';

/** Finds the keeper that acquired the lease last. */
const findLeaseHolder = ({ deployment }: RunContext): string =>
  [...deployment.children.values()].reduce(
    (newest, { lines, name }) => {
      const line = lines.findLast((text) => text.includes(LEASE_TAKEN_TEXT));
      const time = line === undefined ? 0 : (JSON.parse(line) as { readonly time: number }).time;
      return time > newest.time ? { name, time } : newest;
    },
    { name: '', time: 0 },
  ).name;

const FINDERS: Readonly<Record<string, (context: RunContext, name: string) => readonly string[]>> =
  {
    all: ({ deployment }, name) =>
      [...deployment.children.values()]
        .filter((child) => child.availabilityZone === name)
        .map((child) => child.name),
    server: (context, name) => [findServer(context, name) ?? ''],
    holder: (context) => [findLeaseHolder(context)],
  };

/**
 * Finds the processes that a step names: a process, `all of zone-a`, `server of review-1` (the
 * backend server chosen last for that caller) or `holder of lease`.
 */
export function findChildren(context: RunContext, target: string): readonly Child[] {
  const { children } = context.deployment;
  const [, kind = '', name = ''] = /^(server|all|holder) of (\S+)$/u.exec(target) ?? [];
  const names = FINDERS[kind]?.(context, name) ?? [target];
  return names.flatMap((found) => children.get(found) ?? []);
}
