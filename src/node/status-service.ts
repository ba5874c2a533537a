/**
 * Answers operators' `status` and `explain` calls: asks the other nodes, waits a short while, and
 * reports what came back, naming who did not answer. `explain` asks the own zone only, since the
 * decisions about a trainer's work do not leave the zones of its intent.
 */
import type { NodeIdentity, NodeRecord, ZoneName } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { CallReply, ExplainRecord, OperatorDocument } from './calls.js';
import type { NodeStatus, StatusMessage } from './status-messages.js';

/** What the service asks of its node. */
export interface StatusServiceOptions {
  readonly self: NodeRecord;
  readonly now: () => Milliseconds;
  readonly ownStatus: () => NodeStatus;
  readonly explain: (subject: string) => readonly ExplainRecord[];
  /** All members that are thought to be in service, this node left out. */
  readonly members: () => readonly NodeRecord[];
  readonly send: (to: NodeIdentity, message: StatusMessage) => void;
  readonly reply: (callId: string, reply: CallReply) => void;
  readonly nextId: () => string;
}

interface OpenQuery {
  readonly queryId: string;
  readonly callId: string;
  readonly subject: string | null;
  readonly asked: ReadonlySet<string>;
  readonly due: Milliseconds;
  readonly statuses: NodeStatus[];
  readonly records: { readonly node: string; readonly records: readonly ExplainRecord[] }[];
}

/** How long answers are waited for. */
const ANSWER_TIME: Milliseconds = 800;

/** State of one zone as its nodes report it. */
interface ZoneStatus {
  nodes: number;
  answered: number;
  lowestRevision: Revision | null;
  fresh: boolean;
  silent: string[];
}

/** Gathers the state of the fleet for operators. */
export class StatusService {
  private readonly open = new Map<string, OpenQuery>();

  constructor(private readonly options: StatusServiceOptions) {}

  /** Starts a `status` call. */
  status(callId: string): void {
    const members = this.options.members();
    const query = this.begin(callId, null, members);
    query.statuses.push(this.options.ownStatus());
    for (const member of members) {
      this.options.send(member, { kind: 'status-query', queryId: query.queryId });
    }
    this.finishIfWhole(query);
  }

  /** Starts an `explain` call. */
  explain(callId: string, subject: string): void {
    const zone = this.options.self.zone;
    const members = this.options.members().filter((member) => member.zone === zone);
    const query = this.begin(callId, subject, members);
    const records = this.options.explain(subject);
    if (records.length > 0) query.records.push({ node: this.options.self.node, records });
    for (const member of members) {
      this.options.send(member, { kind: 'explain-query', queryId: query.queryId, subject });
    }
    this.finishIfWhole(query);
  }

  /** Takes in another node's message. */
  receive(from: NodeIdentity, message: StatusMessage): void {
    switch (message.kind) {
      case 'status-query': {
        const status = this.options.ownStatus();
        this.options.send(from, { kind: 'status-answer', queryId: message.queryId, status });
        return;
      }
      case 'explain-query':
        this.answerExplain(from, message);
        return;
      case 'status-answer':
        this.take(message.queryId, (query) => query.statuses.push(message.status));
        return;
      case 'explain-answer':
        this.take(message.queryId, (query) => query.records.push(message));
        return;
    }
  }

  /** Finishes queries whose time is over. */
  tick(): void {
    const now = this.options.now();
    for (const query of [...this.open.values()]) {
      if (now >= query.due) this.finish(query);
    }
  }

  private begin(callId: string, subject: string | null, members: readonly NodeRecord[]): OpenQuery {
    const query: OpenQuery = {
      queryId: this.options.nextId(),
      callId,
      subject,
      asked: new Set(members.map((member) => member.node)),
      due: this.options.now() + ANSWER_TIME,
      statuses: [],
      records: [],
    };
    this.open.set(query.queryId, query);
    return query;
  }

  private answerExplain(
    from: NodeIdentity,
    message: Extract<StatusMessage, { kind: 'explain-query' }>,
  ): void {
    const records = this.options.explain(message.subject);
    const { queryId } = message;
    const { node } = this.options.self;
    this.options.send(from, { kind: 'explain-answer', queryId, node, records });
  }

  private take(queryId: string, add: (query: OpenQuery) => void): void {
    const query = this.open.get(queryId);
    if (query === undefined) return;
    add(query);
    this.finishIfWhole(query);
  }

  private finishIfWhole(query: OpenQuery): void {
    const own = query.subject === null ? 1 : 0;
    const answers = query.subject === null ? query.statuses.length : query.records.length;
    if (answers >= query.asked.size + own) this.finish(query);
  }

  private finish(query: OpenQuery): void {
    if (!this.open.delete(query.queryId)) return;
    const document =
      query.subject === null ? statusDocument(query, this.options) : explained(query);
    this.options.reply(query.callId, { kind: 'done', body: { kind: 'operator', document } });
  }
}

function statusDocument(query: OpenQuery, options: StatusServiceOptions): OperatorDocument {
  const zones = new Map<ZoneName, ZoneStatus>();
  const zoneOf = (name: ZoneName): ZoneStatus => {
    const known = zones.get(name);
    if (known !== undefined) return known;
    const created = { nodes: 0, answered: 0, lowestRevision: null, fresh: true, silent: [] };
    zones.set(name, created);
    return created;
  };
  const answered = new Set(query.statuses.map((status) => status.node));
  for (const member of [options.self, ...options.members()]) {
    const zone = zoneOf(member.zone);
    zone.nodes += 1;
    if (!answered.has(member.node)) zone.silent.push(member.node);
  }
  for (const status of query.statuses) addStatus(zoneOf(status.zone), status);
  const groups = query.statuses.flatMap((status) => status.groupsUnderStrength);
  return {
    answeredBy: options.self.node,
    zones: Object.fromEntries(zones),
    nodes: query.statuses,
    groupsUnderStrength: distinctGroups(groups),
  };
}

function addStatus(zone: ZoneStatus, status: NodeStatus): void {
  zone.answered += 1;
  zone.lowestRevision = Math.min(zone.lowestRevision ?? status.revision, status.revision);
  if (!status.ready) zone.fresh = false;
}

function distinctGroups(
  groups: readonly NodeStatus['groupsUnderStrength'][number][],
): readonly NodeStatus['groupsUnderStrength'][number][] {
  const byName = new Map(groups.map((group) => [`${group.intent}/${group.shard}`, group]));
  return [...byName.values()];
}

function explained(query: OpenQuery): OperatorDocument {
  const records = query.records
    .filter((answer) => answer.records.length > 0)
    .flatMap((answer) => answer.records.map((record) => ({ node: answer.node, ...record })));
  return { subject: query.subject, records };
}
