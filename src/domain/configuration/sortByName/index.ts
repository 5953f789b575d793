/** Sorts items by name in code unit order, which does not depend on the locale. */
export function sortByName<Item extends { readonly name: string }>(
  items: readonly Item[],
): readonly Item[] {
  return items.toSorted((first, second) => {
    if (first.name === second.name) {
      return 0;
    }
    return first.name < second.name ? -1 : 1;
  });
}
