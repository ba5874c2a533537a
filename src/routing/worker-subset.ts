/**
 * Deterministic subsetting, after the deterministic aperture of Finagle: clients and workers are
 * put on one ring at even distances, and each client takes the workers from its place onwards.
 * One client more or less moves each subset by less than the gap between two clients.
 */

/**
 * The subset of one client.
 *
 * @param items all workers, in an order that all clients agree on
 * @param rank place of the client among the clients, from 0
 * @param clientCount number of clients, at least 1
 * @param size largest subset; the subsets cover all items if `size * clientCount >= items.length`
 */
export function subsetOf<Item>(
  items: readonly Item[],
  rank: number,
  clientCount: number,
  size: number,
): readonly Item[] {
  if (items.length <= size) return items;
  const start = Math.floor((rank * items.length) / clientCount);
  const end = start + size;
  if (end <= items.length) return items.slice(start, end);
  return [...items.slice(start), ...items.slice(0, end - items.length)];
}
