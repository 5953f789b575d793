import type { Operator } from '../createOperator';

/**
 * Counts lost changes: accepted rows that are missing from the history or replaced there, and last
 * accepted weights that the newest configuration does not contain.
 */
export async function countLostChanges(operators: readonly Operator[]): Promise<number> {
  const accepted = operators.flatMap((operator) => operator.listAccepted());
  const history = (await operators[0]?.listHistory(accepted.length + 1)) ?? [];
  const applyIds = new Map(history.map(({ version, applyId }) => [version, applyId]));
  const missing = accepted.filter(({ row }) => applyIds.get(row.version) !== row.applyId);
  const weights = new Map(
    history[0]?.configuration.workspaces.map(({ name, weight }) => [name, weight]),
  );
  const undone = operators.filter(({ name, listAccepted }) => {
    const wanted = listAccepted()
      .at(-1)
      ?.row.configuration.workspaces.find((workspace) => workspace.name === name)?.weight;
    return wanted !== undefined && weights.get(name) !== wanted;
  });
  return missing.length + undone.length;
}
