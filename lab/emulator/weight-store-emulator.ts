/**
 * Emulated weight store over HTTP: `GET /weights/MODEL/VERSION` takes as long as the simulated
 * bytes need at the limited rate, and answers 429 past the concurrency limit.
 */
import type http from 'node:http';
import { type RunningServer, sendJson, startServer } from './http-server.js';

/** Options of {@link startWeightStoreEmulator}. */
export interface WeightStoreOptions {
  /** Loopback port; 0 for any free one. */
  readonly port: number;
  /** Rate of one download. */
  readonly bytesPerSecond: number;
  /** Size of one version. */
  readonly versionBytes: number;
  /** Downloads at once before 429. */
  readonly concurrency: number;
}

/** Starts the store. The answer names model, version and size in place of the bytes. */
export function startWeightStoreEmulator(options: WeightStoreOptions): Promise<RunningServer> {
  const duration = (options.versionBytes / options.bytesPerSecond) * 1_000;
  const retryAfter = String(Math.max(1, Math.ceil(duration / 1_000)));
  let active = 0;
  const routes = {
    'GET /weights/': (request: http.IncomingMessage, response: http.ServerResponse): void => {
      const match = /^\/weights\/([^/]+)\/(\d+)$/.exec(request.url ?? '');
      if (match === null) {
        sendJson(response, 404, { error: 'no such version' });
        return;
      }
      if (active >= options.concurrency) {
        sendJson(response, 429, { error: 'too many downloads' }, { 'retry-after': retryAfter });
        return;
      }
      active += 1;
      const answer = { model: match[1], version: Number(match[2]), bytes: options.versionBytes };
      const timer = setTimeout(() => sendJson(response, 200, answer), duration);
      response.on('close', () => {
        active -= 1;
        clearTimeout(timer);
      });
    },
  };
  return startServer(routes, options.port);
}
