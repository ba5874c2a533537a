/**
 * Traces a request, item, job or worker through the logs of several nodes: lines that name it, lines
 * about its job, and state changes of the involved nodes and workers around that time.
 */

/** One parsed log line. */
export interface LogLine {
  /** Unix time in milliseconds, by the clock of the node. */
  readonly at: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Why a line is part of a trace: it names the subject, names its job, or is a state change. */
export type TraceRelation = 'subject' | 'job' | 'context';

/** One line of a trace. */
export interface TraceLine extends LogLine {
  readonly relation: TraceRelation;
}

/** State changes that a trace includes as context. */
const CONTEXT_EVENTS = new Set([
  'started',
  'stopping',
  'stopped',
  'store-lost',
  'store-regained',
  'lease-lost',
  'node-suspected',
  'node-trusted',
  'worker-gone',
  'worker-lapsed',
  'weights-ordered',
  'configuration-applied',
  'coordinator-acquired',
  'coordinator-lost',
  'log-lines-dropped',
]);

/** Events about single items; a trace omits those of other items of the same job. */
const ITEM_EVENTS = new Set(['item-run-completed', 'item-run-ended']);

/** Time before the first and after the last line of the subject that context lines cover. */
const CONTEXT_WINDOW_MS = 3_000;

/** Fields of every line; `LogLine.fields` omits them. */
const COMMON_FIELDS = new Set(['level', 'time', 'node', 'zone', 'msg']);

/** Parses a line, skipping a prefix before its JSON object; `undefined` for other lines. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const value = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const at = Date.parse(String(value.time));
    const { msg, node } = value;
    if (typeof msg !== 'string' || typeof node !== 'string' || Number.isNaN(at)) return undefined;
    const fields = Object.entries(value).filter(
      (entry): entry is [string, string | number | boolean] =>
        !COMMON_FIELDS.has(entry[0]) && ['string', 'number', 'boolean'].includes(typeof entry[1]),
    );
    return { at, node, event: msg, fields: Object.fromEntries(fields) };
  } catch {
    return undefined;
  }
}

/** The trace of a subject, in order of time; empty where no line names the subject. */
export function traceSubject(lines: readonly LogLine[], subject: string): TraceLine[] {
  const subjectLines = lines.filter((line) => Object.values(line.fields).includes(subject));
  if (subjectLines.length === 0) return [];
  const subjectLineSet = new Set(subjectLines);
  const jobs = new Set(
    subjectLines.map((line) => line.fields.job).filter((job) => job !== undefined),
  );
  const workers = new Set(subjectLines.map((line) => line.fields.worker));
  const nodes = new Set(subjectLines.map((line) => line.node));
  const times = subjectLines.map((line) => line.at);
  const from = Math.min(...times) - CONTEXT_WINDOW_MS;
  const until = Math.max(...times) + CONTEXT_WINDOW_MS;
  const relationOf = (line: LogLine): TraceRelation | undefined => {
    if (subjectLineSet.has(line)) return 'subject';
    const job = line.fields.job;
    if (job !== undefined && jobs.has(job) && !ITEM_EVENTS.has(line.event)) return 'job';
    if (!CONTEXT_EVENTS.has(line.event) || line.at < from || line.at > until) return undefined;
    const worker = line.fields.worker;
    const isRelated = worker === undefined ? nodes.has(line.node) : workers.has(worker);
    return isRelated && (worker === undefined || nodes.has(line.node)) ? 'context' : undefined;
  };
  return lines
    .flatMap((line) => {
      const relation = relationOf(line);
      return relation === undefined ? [] : [{ ...line, relation }];
    })
    .sort((left, right) => left.at - right.at);
}

/** Formats a line with its time relative to `start`, a Unix time in milliseconds. */
export function formatTraceLine(line: TraceLine, start: number): string {
  const seconds = ((line.at - start) / 1_000).toFixed(3).padStart(9);
  const mark = line.relation === 'subject' ? '*' : ' ';
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${value}`);
  return `${seconds} s ${mark} ${line.node}  ${line.event}  ${fields.join(' ')}`.trimEnd();
}
