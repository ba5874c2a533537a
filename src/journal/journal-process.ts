/** Runs a journal replica as a process: opens it, serves gateways and registers its address. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { PeerServer, type PeerServerOptions } from '../peers/peer-server.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { JournalReplica } from './journal-replica.js';
import { ReplicaRegistration } from './replica-registration.js';

export interface JournalProcessOptions {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Address on which the replica serves gateways. */
  readonly ip: string;
  readonly port: number;
  /** Holds the journal files. */
  readonly folder: string;
  readonly store: SharedStore;
  readonly clock: Clock;
  readonly log: DecisionLog;
  /** Time for which a job stays readable after its submission. */
  readonly retention: () => Milliseconds;
  /** Limits of the server. */
  readonly server?: PeerServerOptions;
}

const OPEN_RETRY_INTERVAL: Milliseconds = 1_000;

/** A running replica with its server and its registration. */
export class JournalProcess {
  private constructor(
    private readonly replica: JournalReplica,
    private readonly server: PeerServer,
    private readonly registration: ReplicaRegistration,
    /** `IP:PORT` of the replica's server. */
    readonly address: string,
  ) {}

  /** Opens the replica, starts its server and then registers its address. */
  static async start(options: JournalProcessOptions): Promise<JournalProcess> {
    const { node, zone, ip, store, clock, log } = options;
    const replica = await openWithRetry(options);
    const onFault = (error: unknown): void => log.fault('journal-question-failed', error);
    const server = new PeerServer(replica, onFault, options.server);
    const port = await server.listen(ip, options.port);
    const address = `${ip}:${port}`;
    const location = { node, zone, address, disk: replica.disk };
    const registration = new ReplicaRegistration({ store, location, clock, log });
    void registration.run();
    return new JournalProcess(replica, server, registration, address);
  }

  /** Removes the record, stops the server and completes the pending requests. */
  async stop(): Promise<void> {
    await this.registration.stop();
    this.server.stop();
    await this.replica.stop();
  }
}

/** Retries until the folder is writable: a process that exits would only be restarted. */
async function openWithRetry(options: JournalProcessOptions): Promise<JournalReplica> {
  for (;;) {
    try {
      return await JournalReplica.open(options.folder, options);
    } catch (error) {
      options.log.fault('journal-not-opened', error);
      await options.clock.sleep(OPEN_RETRY_INTERVAL);
    }
  }
}
