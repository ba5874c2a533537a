/**
 * Client of the platform's machine list. The list lags behind the truth and only seeds what
 * nodes find out for themselves.
 */
import http from 'node:http';
import * as z from 'zod';
import { HTTP_STATUS } from '../core/http-status.js';
import { MEBIBYTE, type Milliseconds } from '../core/units.js';
import { exchangeHttp, parseJson } from './http-exchange-client.js';
import type { MachineRecord } from './worker.js';

/** Options of {@link MachineListClient}. */
export interface MachineListClientOptions {
  /** Host and port of the service. */
  readonly address: string;
  /** Time for one request. Default 2 s. */
  readonly requestTimeout?: Milliseconds;
  /** Largest answer, in bytes. Default 32 MiB. */
  readonly maximumBytes?: number;
}

const DEFAULTS = { requestTimeout: 2_000, maximumBytes: 32 * MEBIBYTE } as const;

const workerRecord = z.object({
  worker: z.string().min(1),
  model: z.string().min(1),
  zone: z.string().min(1),
  address: z.string().regex(/^.+:\d+$/),
  slots: z.number().int().positive(),
});

/** Schema of the list. */
export const machineList = z.array(
  z.object({
    machine: z.string().min(1),
    zone: z.string().min(1),
    state: z.enum(['live', 'leaving']),
    nodeAddresses: z.array(z.string().regex(/^.+:\d+$/)),
    workers: z.array(workerRecord),
  }),
);

/** Speaks to one machine list. */
export class MachineListClient {
  private readonly options: Required<MachineListClientOptions>;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private lastBody: string | undefined;
  private lastList: readonly MachineRecord[] | undefined;

  constructor(options: MachineListClientOptions) {
    this.options = { ...DEFAULTS, ...options };
  }

  /**
   * The list; `undefined` where the service fails or breaks the schema. The same array object as
   * before where the answer is the same, so that what rests on it need not be worked out anew.
   */
  async list(): Promise<readonly MachineRecord[] | undefined> {
    const outcome = await exchangeHttp({
      agent: this.agent,
      address: this.options.address,
      method: 'GET',
      path: '/machines',
      timeout: this.options.requestTimeout,
      maximumBytes: this.options.maximumBytes,
    });
    if (outcome.kind !== 'answer' || outcome.status !== HTTP_STATUS.ok) return undefined;
    if (outcome.body === this.lastBody) return this.lastList;
    this.lastBody = outcome.body;
    this.lastList = machineList.safeParse(parseJson(outcome.body)).data;
    return this.lastList;
  }

  /** Ends all connections. */
  close(): void {
    this.agent.destroy();
  }
}
