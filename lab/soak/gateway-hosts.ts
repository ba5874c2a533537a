/**
 * Addresses of the soak's gateways on loopback: one for each gateway, in a network for each region,
 * and beside it one at which the gateways of other regions reach it. Soaks that run at the same time
 * have networks of their own, so that none reaches a gateway of another one.
 */

/** Number of the networks of this process; 127.0 is left to the machine and to stand-ins. */
const RUN = 1 + (process.pid % 250);

/** First address within a network; what comes before is left to the machine. */
const FIRST_HOST = 11;

/** Number of the first region's network, and distance to the network of its links. */
const FIRST_NETWORK = 1;
const LINK_OFFSET = 100;

const HOST_PATTERN = /^127\.(\d+)\.(\d+)\.(\d+)$/;

/** The address of a gateway. */
export function gatewayHost(region: number, index: number): string {
  return `127.${RUN}.${FIRST_NETWORK + region}.${FIRST_HOST + index}`;
}

/** The address at which gateways of other regions reach the gateway at `host`. */
export function linkHost(host: string): string {
  const [run, network, last] = partsOf(host);
  return `127.${run}.${network + LINK_OFFSET}.${last}`;
}

/** The address to which a gateway at `from` connects in order to reach `to`. */
export function routedHost(from: string, to: string): string {
  const [run, network] = partsOf(to);
  const isGateway = run > 0 && network >= FIRST_NETWORK && network < LINK_OFFSET;
  return isGateway && network !== partsOf(from)[1] ? linkHost(to) : to;
}

/** Run, network and number of an address; zeros for one that is not on loopback. */
function partsOf(host: string): readonly [number, number, number] {
  const [, run = 0, network = 0, last = 0] = HOST_PATTERN.exec(host) ?? [];
  return [Number(run), Number(network), Number(last)];
}
