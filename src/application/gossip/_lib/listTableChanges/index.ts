import type { RelayedRows, TableChanges } from '../../types';

/** Lists by table the changes after the versions that another VM holds. */
export const listTableChanges = (
  followers: ReadonlyMap<string, RelayedRows>,
  versions: ReadonlyMap<string, number> | undefined,
): TableChanges[] =>
  [...followers].flatMap(([table, follower]) => {
    const after = versions?.get(table);
    if (after === undefined || after >= follower.readVersion()) return [];
    const changes = follower.listChanges(after);
    // The local history is too short: all rows are sent, as changes after version 0.
    const snapshot = changes ? null : follower.listChanges(0);
    const given = changes ?? snapshot;
    return given ? [{ table, after: changes ? after : 0, ...given }] : [];
  });
