/** Work of one workspace. */
export interface WorkspaceWork {
  readonly offered: number;
  readonly served: number;
}

/** Computes each workspace's max-min fair part of what was served in all. */
function computeFairParts(work: readonly WorkspaceWork[]): readonly number[] {
  const parts = work.map(() => 0);
  let rest = work.reduce((sum, { served }) => sum + served, 0);
  const open = new Set(work.map((_, index) => index));
  while (open.size > 0 && rest > 1e-9) {
    const each = rest / open.size;
    const given = [...open].map((index) => ({
      index,
      amount: Math.min(each, (work[index]?.offered ?? 0) - (parts[index] ?? 0)),
    }));
    given.forEach(({ index, amount }) => {
      parts[index] = (parts[index] ?? 0) + amount;
      if (amount < each) open.delete(index);
    });
    rest -= given.reduce((sum, { amount }) => sum + amount, 0);
  }
  return parts;
}

/**
 * Computes the Jain index of what workspaces were served relative to their max-min fair part.
 *
 * @returns 1 if all got their part; 1 / n if one got everything
 */
export function computeFairness(work: readonly WorkspaceWork[]): number {
  const parts = computeFairParts(work);
  const ratios = work.flatMap(({ served }, index) => {
    const part = parts[index] ?? 0;
    return part > 0 ? [served / part] : [];
  });
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return squares === 0 ? 1 : (sum * sum) / (ratios.length * squares);
}
