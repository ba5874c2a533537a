/**
 * Passes on what the modules of a node know of each other's subjects: members to the feed and the
 * ledger, configuration to the directory and the weight controller, and so on.
 */
import type { Configuration } from '../config-feed/configuration.js';
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerDomain } from '../ledger/ledger.js';
import type { MachineRecord, WorkerRecord } from '../platform/worker.js';
import type { RoutedModel } from '../routing/worker-topology.js';
import type { DiskResidency } from './disk-residency.js';
import type { NodeModules } from './node-modules.js';

/** Refreshes the views of one node's modules. */
export class ViewRefresher {
  private membershipVersion = -1;
  /** What the ledger's view of members was made from. */
  private ledgerMembersBasis = '';
  /** The configuration that the ledger's domains were made from. */
  private ledgerConfiguration: Configuration | null = null;
  private zoneWorkers: readonly WorkerRecord[] = [];
  /** The machine list that `zoneWorkers` was made from. */
  private zoneWorkersOf: readonly MachineRecord[] = [];

  constructor(
    private readonly modules: NodeModules,
    private readonly diskResidency: DiskResidency | null,
  ) {}

  /** Passes on what has changed; cheap where nothing has. */
  refresh(now: Milliseconds): void {
    const configuration = this.modules.feed.configuration();
    if (this.membershipVersion !== this.modules.membership.version) {
      this.membershipVersion = this.modules.membership.version;
      this.modules.effects.feed(
        this.modules.feed.membersChanged(this.modules.membership.members(), now),
      );
    }
    this.refreshLedger(now);
    this.refreshDisk();
    this.modules.effects.directory(
      this.modules.directory.updateDrains(this.modules.effectiveDrains(), now),
    );
    const driven = this.modules.work.supervisor.drivenSamples();
    const wanted = [...configuration.intents.values()]
      .filter((intent) => intent.zones.includes(this.modules.settings.self.zone))
      .map(({ model, zones }) => ({ model, zones, samplesDriven: driven.get(model) ?? 0 }));
    this.modules.effects.directory(
      this.modules.directory.updateRoutedModels(this.wantedOrAll(wanted), now),
    );
    const liveInZone = (zone: string): readonly NodeRecord[] =>
      this.modules.membership.liveInZone(zone);
    this.modules.effects.directory(this.modules.directory.updateNodes(liveInZone, now));
    this.refreshWeights(now);
    this.modules.work.refresh(configuration);
  }

  /** Does nothing while neither members nor records changed, as it costs time for each member. */
  private refreshLedger(now: Milliseconds): void {
    const configuration = this.modules.feed.configuration();
    const { membership } = this.modules;
    const reachable = this.reachableZones(now);
    const basis = `${membership.version} ${reachable.join(' ')}`;
    if (configuration === this.ledgerConfiguration && basis === this.ledgerMembersBasis) return;
    this.ledgerMembersBasis = basis;
    this.ledgerConfiguration = configuration;
    const domains = this.domainsOf(configuration);
    const members = membership.members().map(({ record, state }) => {
      const inService = state === 'alive' || state === 'suspect';
      return { record, alive: inService && reachable.includes(record.zone) };
    });
    this.modules.ledgerAdapter.apply(this.modules.ledger.updateMembers(members, domains, now));
    this.modules.ledgerAdapter.apply(
      this.modules.ledger.updateGroups(configuration.groups.values(), now),
    );
  }

  /**
   * Zones whose nodes can be reached. Nodes of a lost zone are not declared dead, but the ledger
   * must not count on them: it replaces a minority of a group's members, never a majority.
   */
  private reachableZones(now: Milliseconds): readonly string[] {
    const { membership } = this.modules;
    return membership.zones().filter((zone) => membership.zoneReachable(zone, now));
  }

  private domainsOf(configuration: Configuration): readonly LedgerDomain[] {
    return [...configuration.intents.values()].map(({ name, zones }) => {
      return { name, zones: this.residentZones(zones) };
    });
  }

  /** Tells the disk which domains may have bodies here, once the configuration is known. */
  private refreshDisk(): void {
    const { feed, settings } = this.modules;
    if (this.diskResidency === null || feed.completeRevision() === 0) return;
    const domains = this.domainsOf(feed.configuration());
    const request = this.diskResidency.update(domains, settings.self.zone);
    if (request !== null) this.modules.context.emit({ kind: 'disk', request });
  }

  /** Zones that may hold an intent's ledger replicas. */
  private residentZones(zones: readonly string[]): readonly string[] {
    if (this.modules.settings.mechanisms['residency-replicas']) return zones;
    return this.modules.settings.zones.map((zone) => zone.name);
  }

  private wantedOrAll(wanted: readonly RoutedModel[]): readonly RoutedModel[] {
    if (this.modules.settings.mechanisms['residency-routing']) return wanted;
    const zones = this.modules.settings.zones.map((zone) => zone.name);
    return wanted.map((model) => ({ ...model, zones }));
  }

  private refreshWeights(now: Milliseconds): void {
    const { zone } = this.modules.settings.self;
    const view = {
      configuration: this.modules.feed.configuration(),
      configurationFresh: this.modules.permission.isFresh(this.modules.feed.freshnessAge(now)),
      liveInZone: this.modules.membership.liveInZone(zone),
      workers: this.workersOfZone(),
    };
    this.modules.effects.weights(this.modules.weights.update(view, now));
  }

  private workersOfZone(): readonly WorkerRecord[] {
    if (this.zoneWorkersOf !== this.modules.machines) {
      this.zoneWorkersOf = this.modules.machines;
      this.zoneWorkers = this.modules.machines
        .flatMap((machine) => machine.workers)
        .filter((worker) => worker.zone === this.modules.settings.self.zone);
    }
    return this.zoneWorkers;
  }
}
