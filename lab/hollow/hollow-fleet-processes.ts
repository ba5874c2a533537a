/** Starts a hollow fleet as processes, and follows what they report. */
import path from 'node:path';
import { createInterface } from 'node:readline';
import { intentKey } from '../../src/config-feed/configuration.js';
import type { KeyValueResult } from '../../src/platform/key-value.js';
import { KeyValueClient } from '../../src/platform/key-value-client.js';
import { fleetPlan } from '../bench/fleet-plan.js';
import type { ProcessGroup, StartedProcess } from '../demo/process-group.js';
import { pause } from '../demo/running-deployment.js';
import { requestJson } from '../load/json-client.js';
import { encodeRecord } from '../simulation/record-encoding.js';
import { rackMachines } from './rack-plan.js';
import { type FleetReport, joinReports, parseRackReport, type RackReport } from './rack-report.js';

const POLL_MILLISECONDS = 25;
/** Racks start one after the other, as machines do. */
const RACK_START_INTERVAL_MILLISECONDS = 500;
const LAB_TIMEOUT_MILLISECONDS = 5_000;

/** Size of a hollow fleet. */
export interface HollowFleetSize {
  readonly racks: number;
  readonly nodesPerRack: number;
}

/** A hollow fleet that runs. */
export class HollowFleetProcesses {
  private readonly reports = new Map<number, RackReport>();
  private readonly processes: StartedProcess[] = [];
  private keyValue: KeyValueClient | null = null;

  constructor(
    private readonly group: ProcessGroup,
    private readonly size: HollowFleetSize,
  ) {}

  /** Starts the platform's stand-ins with the letter's 19 intents, then all racks. */
  async start(): Promise<void> {
    const [keyValueAddress, machineList] = await Promise.all([
      this.group.startEmulator('key-value', ['key-value']),
      this.group.startEmulator('machine-list', ['machine-list', '--lag', '0']),
    ]);
    this.keyValue = new KeyValueClient({ address: keyValueAddress });
    await this.writeIntents(null);
    await requestJson({
      method: 'POST',
      address: machineList,
      path: '/lab/machines',
      body: rackMachines(this.size.racks, this.size.nodesPerRack),
      timeout: LAB_TIMEOUT_MILLISECONDS,
    });
    for (let rack = 0; rack < this.size.racks; rack += 1) {
      this.startRack(rack, [keyValueAddress, machineList]);
      await pause(RACK_START_INTERVAL_MILLISECONDS);
    }
  }

  /** Changes one intent; gives the revision of the change. */
  async change(maximumVersion: number): Promise<number> {
    const result = await this.writeIntents(maximumVersion);
    if (result?.kind !== 'transaction') throw new Error('the key-value service did not answer');
    return result.revision;
  }

  /** Kills one rack's process without warning. */
  async killRack(rack: number): Promise<void> {
    const started = this.processes[rack];
    this.reports.delete(rack);
    started?.child.stdout?.removeAllListeners('data');
    started?.child.kill('SIGKILL');
    await started?.exited;
    this.reports.delete(rack);
  }

  /** What the racks that run say, joined. */
  report(): FleetReport {
    return joinReports([...this.reports.values()]);
  }

  /** Waits for a state; the milliseconds it took, or `null` where it took longer than the limit. */
  async until(state: (report: FleetReport) => boolean, limit: number): Promise<number | null> {
    const started = performance.now();
    while (performance.now() - started < limit) {
      if (this.reports.size > 0 && state(this.report())) {
        return Math.round(performance.now() - started);
      }
      await pause(POLL_MILLISECONDS);
    }
    return null;
  }

  /** Ends the bench's own connections. */
  close(): void {
    this.keyValue?.close();
  }

  private startRack(rack: number, addresses: readonly string[]): void {
    const script = path.join(import.meta.dirname, 'rack-process.js');
    const parameters = [String(rack), String(this.size.nodesPerRack), ...addresses];
    const started = this.group.start(`rack-${rack}`, script, parameters);
    this.processes.push(started);
    if (started.child.stdout === null) return;
    createInterface({ input: started.child.stdout }).on('line', (line) => {
      const report = parseRackReport(line);
      if (report !== undefined && started.child.signalCode === null) this.reports.set(rack, report);
    });
  }

  private async writeIntents(maximumVersion: number | null): Promise<KeyValueResult | undefined> {
    const { intents } = fleetPlan(this.size.racks * this.size.nodesPerRack);
    const chosen = maximumVersion === null ? intents : intents.slice(0, 1);
    return this.keyValue?.perform({
      kind: 'transaction',
      compares: [],
      writes: chosen.map((intent) => {
        const value = encodeRecord({ ...intent, maximumVersion });
        return { kind: 'put', key: intentKey(intent.name), value };
      }),
    });
  }
}
