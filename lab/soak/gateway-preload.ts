/**
 * Loaded into each gateway ahead of its program, as all of them share one machine: names the gateway in
 * the requests that it sends, and leads its connections to gateways of other regions over links that
 * the soak can silence.
 */
import http from 'node:http';
import type { TcpNetConnectOpts } from 'node:net';
import { routedHost } from './gateway-hosts.js';
import { SENDER_HEADER, SENDER_HOST, SENDER_NAME } from './request-sender.js';

/** The method of an agent that opens its connections, which the types leave out. */
interface ConnectingAgent {
  createConnection(options: TcpNetConnectOpts, ...rest: readonly unknown[]): unknown;
}

const name = process.env[SENDER_NAME] ?? '';
const host = process.env[SENDER_HOST] ?? '';

const { request } = http;
Object.assign(http, {
  request: (options: http.RequestOptions, ...rest: readonly unknown[]): unknown =>
    Reflect.apply(request, http, [{ ...options, headers: withSender(options.headers) }, ...rest]),
});

const agent = http.Agent.prototype as unknown as ConnectingAgent;
const { createConnection } = agent;
agent.createConnection = function (this: ConnectingAgent, options, ...rest) {
  const routed = { ...options, host: routedHost(host, options.host ?? '') };
  return Reflect.apply(createConnection, this, [routed, ...rest]);
};

/** Headers come as an object or as a list of names and values in turn. */
function withSender(headers: http.RequestOptions['headers']): http.RequestOptions['headers'] {
  if (Array.isArray(headers)) return [...headers, SENDER_HEADER, name];
  return { ...headers, [SENDER_HEADER]: name };
}
