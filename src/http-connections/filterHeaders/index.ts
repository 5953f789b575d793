/**
 * Filters headers: those with certain names are left out.
 *
 * @param headers - names and values alternately
 * @param excludedNames - lower-case names
 *
 * @example
 * filterHeaders(['Host', 'a', 'X-Y', 'b'], new Set(['host'])); // => ['X-Y', 'b']
 */
export const filterHeaders = (
  headers: readonly string[],
  excludedNames: ReadonlySet<string>,
): readonly string[] =>
  headers.filter((_, index) => {
    const name = headers[index - (index % 2)] ?? '';
    return !excludedNames.has(name.toLowerCase());
  });
