/** The replicated state of control as one state machine. */

import {unreachable} from '../../core/errors';
import type {StateMachine} from '../log/replicatedLog';
import {FleetSnapshot, FleetState} from '../fleet/fleetState';
import {MapSnapshot, MapState} from '../maps/mapState';
import {ClaimState, ClaimsSnapshot} from './claimState';
import type {Command, CommandResult} from './command';
import {DepartureSnapshot, DepartureState} from './departureState';
import {RulesSnapshot, RulesState} from './rulesState';
import {SiteSnapshot, SiteState} from './siteState';
import {UsageSnapshot, UsageState} from './usageState';

interface Snapshot {
  readonly rules: RulesSnapshot;
  readonly claims: ClaimsSnapshot;
  readonly usage: UsageSnapshot;
  readonly maps: MapSnapshot;
  /** Absent in snapshots of versions that had no model orders. */
  readonly fleet?: FleetSnapshot;
  /** Absent in snapshots of deployments that use rule files instead. */
  readonly site?: SiteSnapshot;
  /** Absent in snapshots of versions that kept no departures. */
  readonly departures?: DepartureSnapshot;
}

/** Applies committed commands in log order, with equal results everywhere. */
export class ControlState implements StateMachine {
  readonly rules = new RulesState();
  readonly claims = new ClaimState();
  readonly usage = new UsageState();
  readonly maps = new MapState();
  readonly fleet = new FleetState();
  readonly site = new SiteState();
  readonly departures = new DepartureState();

  apply(command: Command, index: number): CommandResult {
    switch (command.kind) {
      case 'submit':
        return {command: 'submit', result: this.rules.apply(command)};
      case 'claim':
        return {command: 'claim', result: this.claims.claim(command)};
      case 'settle':
        return {command: 'settle', result: this.claims.settle(command)};
      case 'usage':
        this.usage.apply(command);
        return {command: 'usage'};
      case 'fence':
        return {command: 'fence', result: this.maps.applyFence(command)};
      case 'mapDecision':
        return {
          command: 'mapDecision',
          result: this.maps.applyDecision(command),
        };
      case 'fleetFence':
        return {
          command: 'fleetFence',
          result: this.fleet.applyFence(command),
        };
      case 'fleetOrder':
        return {command: command.kind, result: this.fleet.applyOrder(command)};
      case 'fleetEnd':
        return {command: command.kind, result: this.fleet.applyEnd(command)};
      case 'site':
        return {command: 'site', result: this.site.applySite(command)};
      case 'zone':
        return {command: 'zone', result: this.site.applyZone(command, index)};
      case 'departure':
        this.departures.apply(command);
        return {command: 'departure'};
      case 'noop':
        return {command: 'noop'};
      default:
        return unreachable(command);
    }
  }

  snapshot(): string {
    const snapshot: Snapshot = {
      rules: this.rules.snapshot(),
      claims: this.claims.snapshot(),
      usage: this.usage.snapshot(),
      maps: this.maps.snapshot(),
      fleet: this.fleet.snapshot(),
      site: this.site.snapshot(),
      departures: this.departures.snapshot(),
    };
    return JSON.stringify(snapshot);
  }

  restore(text: string): void {
    const snapshot = JSON.parse(text) as Snapshot;
    this.rules.restore(snapshot.rules);
    this.claims.restore(snapshot.claims);
    this.usage.restore(snapshot.usage);
    this.maps.restore(snapshot.maps);
    if (snapshot.fleet !== undefined) this.fleet.restore(snapshot.fleet);
    if (snapshot.site !== undefined) this.site.restore(snapshot.site);
    this.departures.restore(snapshot.departures ?? []);
  }
}
