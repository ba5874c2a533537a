/** Opens outgoing HTTP requests whose address or head may come from another process. */
import http from 'node:http';

/**
 * Opens a request; `undefined` if it can't be sent at all. `http.request` throws for a port out of
 * range, and for a path or header that HTTP can't carry.
 */
export function openRequest(options: http.RequestOptions): http.ClientRequest | undefined {
  try {
    return http.request(options);
  } catch {
    return undefined;
  }
}
