import type { RelayedRows, TableChanges } from '../../types';

/** Lists the changes that a VM lacks which named these versions, table by table. */
export const listTableChanges = (
  followers: ReadonlyMap<string, RelayedRows>,
  versions: ReadonlyMap<string, number> | undefined,
): TableChanges[] =>
  [...followers].flatMap(([table, follower]) => {
    const after = versions?.get(table);
    if (after === undefined || after >= follower.readVersion()) return [];
    const changes = follower.listChanges(after);
    // What it lacks is known no more: all rows are given, which follow the very beginning.
    const whole = changes ? null : follower.listChanges(0);
    const given = changes ?? whole;
    return given ? [{ table, after: changes ? after : 0, ...given }] : [];
  });
