/** Picks what a planned fault strikes; `target` is taken modulo the number of items. */
export function pick<Item>(items: readonly Item[], target: number): Item {
  const item = items[target % items.length];
  if (item === undefined) throw new Error('there is nothing to pick from');
  return item;
}
