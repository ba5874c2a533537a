/**
 * Addresses of the soak's gateways on loopback: one for each gateway, in a network for each region,
 * and beside it one at which the gateways of other regions reach it.
 */

/** First address within a network; what comes before is left to the machine. */
const FIRST_HOST = 11;

/** Number of the first region's network, and distance to the network of its links. */
const FIRST_NETWORK = 1;
const LINK_OFFSET = 100;

const HOST_PATTERN = /^127\.0\.(\d+)\.(\d+)$/;

/** The address of a gateway. */
export function gatewayHost(region: number, index: number): string {
  return `127.0.${FIRST_NETWORK + region}.${FIRST_HOST + index}`;
}

/** The address at which gateways of other regions reach the gateway at `host`. */
export function linkHost(host: string): string {
  const [network, last] = partsOf(host);
  return `127.0.${network + LINK_OFFSET}.${last}`;
}

/** The address to which a gateway at `from` connects in order to reach `to`. */
export function routedHost(from: string, to: string): string {
  const [network] = partsOf(to);
  const isGateway = network >= FIRST_NETWORK && network < LINK_OFFSET;
  return isGateway && network !== partsOf(from)[0] ? linkHost(to) : to;
}

/** Network and number of an address; zeros for one that is not on loopback. */
function partsOf(host: string): readonly [number, number] {
  const [, network = 0, last = 0] = HOST_PATTERN.exec(host) ?? [];
  return [Number(network), Number(last)];
}
