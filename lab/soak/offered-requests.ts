/** The requests that callers send to the gateways, to tell which of those that reach workers nobody sent. */
import { createHash } from 'node:crypto';
import type http from 'node:http';
import { HEADERS } from '../../platform/names.js';

/** A request that a caller is about to send. */
export interface SoakRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly body: Buffer;
  /** Whether the caller stops before its end. */
  readonly isBrokenOff?: boolean;
  /** Whether it bears {@link describingHeaders}. */
  readonly isDescribed?: boolean;
}

/** What tells one request from another before its body. */
type RequestHead = Pick<http.IncomingMessage, 'headers' | 'method' | 'url'>;

interface OfferedRequest {
  readonly line: string;
  readonly bodyDigest: string;
  readonly isBrokenOff: boolean;
  readonly isDescribed: boolean;
}

/** Headers that name a request's model, size and prompt; a worker gets them as the caller gave them. */
export function describingHeaders(id: string): Record<string, string> {
  return {
    [HEADERS.model]: `model-of-${id}`,
    [HEADERS.tokenCounts]: `${id.length},40`,
    [HEADERS.prefix]: `${id}:16,5d07b8:24`,
  };
}

/** Keeps what was sent. */
export class OfferedRequests {
  private readonly requests = new Map<string, OfferedRequest>();

  /** A caller is about to send a request. */
  note({ id, method, path, body, isBrokenOff = false, isDescribed = true }: SoakRequest): void {
    const line = `${method} ${path}`;
    this.requests.set(id, { line, bodyDigest: digestOf(body), isBrokenOff, isDescribed });
  }

  /** How a request that came, or its head alone, differs from what was sent; `undefined` if not. */
  differenceOf(
    { headers, method = '', url: path = '' }: RequestHead,
    body?: Buffer,
  ): string | undefined {
    const id = String(headers[HEADERS.requestId] ?? '');
    const offered = this.requests.get(id);
    if (offered === undefined) return `nobody sent ${method} ${path} with the id ${id}`;
    if (offered.isBrokenOff) return `${id} was broken off by its caller`;
    if (offered.line !== `${method} ${path}`) return `${id} came as ${method} ${path}`;
    const isChanged = ([name, value]: [string, string]): boolean => headers[name] !== value;
    const described = offered.isDescribed ? Object.entries(describingHeaders(id)) : [];
    const changed = described.find(isChanged);
    if (changed !== undefined) return `${id} came with ${changed[0]} ${headers[changed[0]]}`;
    if (body === undefined || digestOf(body) === offered.bodyDigest) return undefined;
    return `${id} came with another body of ${body.length} bytes`;
  }
}

function digestOf(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}
