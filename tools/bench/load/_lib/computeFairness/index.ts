/** Offered and served work of one workspace. */
export interface WorkspaceWork {
  readonly offered: number;
  readonly served: number;
}

/** Computes each workspace's max-min fair share of all served work. */
function computeFairShares(work: readonly WorkspaceWork[]): readonly number[] {
  const shares = work.map(() => 0);
  let rest = work.reduce((sum, { served }) => sum + served, 0);
  const open = new Set(work.map((_, index) => index));
  while (open.size > 0 && rest > 1e-9) {
    const each = rest / open.size;
    const given = [...open].map((index) => ({
      index,
      amount: Math.min(each, (work[index]?.offered ?? 0) - (shares[index] ?? 0)),
    }));
    given.forEach(({ index, amount }) => {
      shares[index] = (shares[index] ?? 0) + amount;
      if (amount < each) open.delete(index);
    });
    rest -= given.reduce((sum, { amount }) => sum + amount, 0);
  }
  return shares;
}

/**
 * Computes the Jain index of the work served per workspace, relative to its max-min fair share.
 *
 * @returns 1 if every workspace got its share; 1 / n if one workspace got everything
 */
export function computeFairness(work: readonly WorkspaceWork[]): number {
  const shares = computeFairShares(work);
  const ratios = work.flatMap(({ served }, index) => {
    const share = shares[index] ?? 0;
    return share > 0 ? [served / share] : [];
  });
  const sum = ratios.reduce((total, ratio) => total + ratio, 0);
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0);
  return squares === 0 ? 1 : (sum * sum) / (ratios.length * squares);
}
