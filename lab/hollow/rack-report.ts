/** What one process of hollow nodes says of itself, as one line of JSON. */

/** State of all nodes of one process at one moment. */
export interface RackReport {
  readonly rack: number;
  /** Fewest and most living members that a node knows, suspected ones included. */
  readonly fewestMembers: number;
  readonly mostMembers: number;
  /** Lowest configuration revision in force on a node. */
  readonly lowestRevision: number;
  /** Fewest ledger groups that a node knows. */
  readonly fewestGroups: number;
  /** Most ledger groups under strength that a node sees. */
  readonly mostUnderStrength: number;
  /** Nodes that could take calls. */
  readonly ready: number;
  readonly residentBytes: number;
  readonly cpuMilliseconds: number;
  readonly messagesSent: number;
  readonly bytesSent: number;
  readonly droppedMessages: number;
  /** A few of the members that some node suspects or holds for dead. */
  readonly missing: readonly string[];
}

/** The state of a whole fleet. */
export interface FleetReport extends Omit<RackReport, 'rack'> {
  readonly racks: number;
}

/** Reads a line; `undefined` for any other line. */
export function parseRackReport(line: string): RackReport | undefined {
  try {
    const value = JSON.parse(line) as RackReport;
    return typeof value.rack === 'number' ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Joins the latest reports of all racks. */
export function joinReports(reports: readonly RackReport[]): FleetReport {
  const lowest = (pick: (report: RackReport) => number): number => Math.min(...reports.map(pick));
  const highest = (pick: (report: RackReport) => number): number => Math.max(...reports.map(pick));
  const sum = (pick: (report: RackReport) => number): number =>
    reports.reduce((total, report) => total + pick(report), 0);
  return {
    racks: reports.length,
    fewestMembers: lowest((report) => report.fewestMembers),
    mostMembers: highest((report) => report.mostMembers),
    lowestRevision: lowest((report) => report.lowestRevision),
    fewestGroups: lowest((report) => report.fewestGroups),
    mostUnderStrength: highest((report) => report.mostUnderStrength),
    ready: sum((report) => report.ready),
    residentBytes: sum((report) => report.residentBytes),
    cpuMilliseconds: sum((report) => report.cpuMilliseconds),
    messagesSent: sum((report) => report.messagesSent),
    bytesSent: sum((report) => report.bytesSent),
    droppedMessages: sum((report) => report.droppedMessages),
    missing: reports.flatMap((report) => report.missing),
  };
}
