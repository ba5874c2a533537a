/**
 * Deterministic subsetting, after the deterministic aperture of Finagle: clients and workers have
 * even positions on one ring, and each client takes the workers that follow its position. Adding or
 * removing one client moves each subset by less than the distance between two clients.
 */

/**
 * The subset of one client.
 *
 * @param items all workers, in the same order for all clients
 * @param rank position of the client among the clients, from 0
 * @param clientCount number of clients, at least 1
 * @param size maximum size of a subset; the subsets cover all items if `size * clientCount >= items.length`
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
