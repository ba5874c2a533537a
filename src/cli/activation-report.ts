/** Polls the status of the fleet until a revision is active in every zone. */
import { printDocument } from './client-command.js';
import type { CommandInput } from './command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { OperatorClient } from './operator-client.js';

const STATUS_POLL_INTERVAL_MS = 500;

/** Status of one zone. */
export interface ZoneStatus {
  /** Lowest active revision of the nodes of the zone that answered; `null` where none did. */
  readonly lowestRevision: number | null;
  /** Number of live nodes. */
  readonly nodes: number;
  /** Number of nodes that reported their revision. @default nodes */
  readonly answered?: number;
  /** Whether the configuration of the zone is fresh. */
  readonly fresh: boolean;
}

/** One line of the report. */
interface ZoneReport {
  readonly zone: string;
  readonly state: 'in-force' | 'not-seen' | 'cut-off';
  readonly revision: number | null;
  /** Time from the confirmation to this report, in milliseconds. */
  readonly after_ms: number;
}

/**
 * Polls the status and prints each zone once the revision is active there. After the timeout it
 * prints the other zones; a partitioned one (`cut-off`) applies the cut-off rule of the intent.
 */
export async function waitUntilActive(
  input: CommandInput,
  client: OperatorClient,
  revision: number,
  timeout: number,
): Promise<ExitCode> {
  const reported = new Set<string>();
  let zones: Readonly<Record<string, ZoneStatus>> = {};
  for (let elapsed = 0; ; elapsed += STATUS_POLL_INTERVAL_MS) {
    const answer = await client.send({ method: 'GET', path: '/v1/status', body: null });
    if (answer.isOk) zones = zonesOf(answer.value);
    for (const report of newReports(zones, revision, elapsed, reported)) {
      printDocument(input, report);
    }
    const complete = Object.keys(zones).length > 0 && reported.size === Object.keys(zones).length;
    if (complete) return EXIT_CODES.ok;
    if (elapsed >= timeout) return reportUnfinished(input, zones, reported, elapsed);
    await input.terminal.pause(STATUS_POLL_INTERVAL_MS);
  }
}

function zonesOf(status: Readonly<Record<string, unknown>>): Record<string, ZoneStatus> {
  const { zones } = status;
  return typeof zones === 'object' && zones !== null ? (zones as Record<string, ZoneStatus>) : {};
}

function newReports(
  zones: Readonly<Record<string, ZoneStatus>>,
  revision: number,
  elapsed: number,
  reported: Set<string>,
): ZoneReport[] {
  const activeZones = Object.entries(zones).filter(
    ([zone, status]) => !reported.has(zone) && isActive(status, revision),
  );
  return activeZones.map(([zone, status]) => {
    reported.add(zone);
    return { zone, state: 'in-force', revision: status.lowestRevision, after_ms: elapsed };
  });
}

/** All nodes of the zone must report, as the others may have an older revision. */
function isActive(status: ZoneStatus, revision: number): boolean {
  const complete = (status.answered ?? status.nodes) >= status.nodes;
  return complete && status.lowestRevision !== null && status.lowestRevision >= revision;
}

function reportUnfinished(
  input: CommandInput,
  zones: Readonly<Record<string, ZoneStatus>>,
  reported: ReadonlySet<string>,
  elapsed: number,
): ExitCode {
  for (const [zone, status] of Object.entries(zones)) {
    if (reported.has(zone)) continue;
    const state = status.fresh ? 'not-seen' : 'cut-off';
    const report: ZoneReport = {
      zone,
      state,
      revision: status.lowestRevision,
      after_ms: elapsed,
    };
    printDocument(input, report);
  }
  return EXIT_CODES.outcomeUnknown;
}
