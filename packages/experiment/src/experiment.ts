import type { DisabledMechanisms, Route } from '@ferrylock/routing';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import type { Asked } from './caller-requests.js';
import { CallerRequests } from './caller-requests.js';
import { EmulatedHost, routeOf } from './emulated-host.js';
import { EmulatedTarget } from './emulated-target.js';
import { Disruptions } from './disruptions.js';
import type { Outcome } from './outcome.js';
import { OutcomeCounter } from './outcome.js';
import type { RequestClass, Scenario } from './scenario.js';
import { VirtualTime } from './virtual-time.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface ExperimentOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly disabledMechanisms: DisabledMechanisms;
}

/** What one play shows: its figures, and the credit of each window. */
export interface Play {
  readonly outcome: Outcome;
  readonly windows: readonly number[];
}

/** Plays a scenario: the product's decisions at every host against emulated targets and callers. */
export class Experiment {
  readonly #scenario: Scenario;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #targets = new Map<string, EmulatedTarget>();
  readonly #hosts = new Map<string, EmulatedHost[]>();
  readonly #routes: ReadonlyMap<string, Route>;
  readonly #counter: OutcomeCounter;
  readonly #requests: CallerRequests;
  readonly #disruptions: Disruptions;
  readonly #leftOut: DisabledMechanisms;

  constructor({ scenario, seed, disabledMechanisms: leftOut }: ExperimentOptions) {
    this.#scenario = scenario;
    this.#leftOut = leftOut;
    this.#random = new SeededRandom(seed);
    this.#counter = new OutcomeCounter(scenario);
    this.#routes = new Map(
      Object.keys(scenario.classes).map((name) => [name, routeOf(name, scenario)]),
    );
    this.#requests = new CallerRequests({
      scenario,
      time: this.#time,
      random: this.#random,
      targets: this.#targets,
      hostsOf: (region) => this.#hosts.get(region) ?? [],
      counter: this.#counter,
    });
    this.#addTargets();
    this.#disruptions = new Disruptions({
      scenario,
      time: this.#time,
      random: this.#random,
      targets: this.#targets,
      hosts: () => [...this.#hosts.values()].flat(),
      restartHost: (host) => {
        this.#restartHost(host);
      },
    });
    this.#addHosts();
  }

  play(): Play {
    const { deployment, regions } = this.#scenario;
    const endAt = deployment.seconds * MILLISECONDS_PER_SECOND;
    this.#disruptions.schedule();
    for (const region of Object.keys(regions)) {
      this.#arriveNext(region, endAt);
    }
    this.#time.every(deployment.reportMilliseconds, endAt, () => {
      this.#report();
    });
    this.#time.run();
    return { outcome: this.#counter.outcome(), windows: this.#counter.windows };
  }

  #addTargets(): void {
    for (const [service, settings] of Object.entries(this.#scenario.services)) {
      for (const [region, count] of Object.entries(settings.targets)) {
        for (let index = 0; index < count; index++) {
          const id = `${service}-${region}-${index}`;
          const target = new EmulatedTarget({
            ...settings,
            id,
            service,
            region,
            time: this.#time,
            draw: () => this.#random.next(),
          });
          this.#targets.set(id, target);
        }
      }
    }
  }

  #addHosts(): void {
    const { hosts } = this.#scenario.deployment;
    const regions = Object.keys(this.#scenario.regions);
    const names = Array.from({ length: hosts }, (_, index) => `host-${index}`);
    for (const [index, name] of names.entries()) {
      const region = regions[index % regions.length] ?? '';
      const host = this.#makeHost(name, region, names);
      this.#hosts.set(region, [...(this.#hosts.get(region) ?? []), host]);
    }
  }

  #makeHost(name: string, region: string, hosts: readonly string[]): EmulatedHost {
    const options = {
      name,
      region,
      scenario: this.#scenario,
      time: this.#time,
      disabledMechanisms: this.#leftOut,
      isEvacuated: (place: string) => this.#disruptions.isEvacuated(place),
      hosts,
    };
    const host = new EmulatedHost(options, this.#targets.values());
    const { inRegionMilliseconds, betweenRegionsMilliseconds } = this.#scenario.deployment;
    for (const { options: target } of this.#targets.values()) {
      const isNear = target.region === region;
      const oneWay = isNear ? inRegionMilliseconds : betweenRegionsMilliseconds;
      host.service(target.service).roundTripTimes.record(target.region, 2 * oneWay);
    }
    return host;
  }

  /** A host loses all that it learned. */
  #restartHost({ name, region, options }: EmulatedHost): void {
    const hosts = this.#hosts.get(region) ?? [];
    const index = hosts.findIndex((host) => host.name === name);
    hosts[index] = this.#makeHost(name, region, options.hosts);
  }

  #arriveNext(region: string, endAt: number): void {
    const rate = this.#rateOf(region);
    const wait = (-Math.log(1 - this.#random.next()) * MILLISECONDS_PER_SECOND) / rate;
    if (this.#time.now() + wait >= endAt) {
      return;
    }
    this.#time.after(wait, () => {
      this.#arriveNext(region, endAt);
      this.#requests.ask(this.#drawRequest(region));
    });
  }

  #rateOf(region: string): number {
    const settings = this.#scenario.regions[region];
    if (settings === undefined) {
      return 0;
    }
    const { requestsPerSecond, swing, periodSeconds, phase } = settings;
    const turns = this.#time.now() / MILLISECONDS_PER_SECOND / periodSeconds + phase;
    const wave = 1 + swing * Math.sin(2 * Math.PI * turns);
    return requestsPerSecond * wave * this.#disruptions.demandFactor;
  }

  #drawRequest(region: string): Asked {
    const [requestClass, settings] = this.#drawClass();
    const route = this.#routes.get(requestClass);
    if (route === undefined) {
      throw new Error(`no route ${requestClass}`);
    }
    const key = `${requestClass}-${randomIndex(this.#random, settings.objects)}`;
    const askedAt = this.#time.now();
    return { requestClass, settings, route, key, region, askedAt, tries: 0, refusals: 0 };
  }

  #drawClass(): [string, RequestClass] {
    const classes = Object.entries(this.#scenario.classes);
    let left = this.#random.next() * classes.reduce((sum, [, { share }]) => sum + share, 0);
    const drawn = classes.find(([, { share }]) => (left -= share) < 0) ?? classes[0];
    if (drawn === undefined) {
      throw new Error('expected at least one class');
    }
    return drawn;
  }

  /** All hosts tell what they have under way and are asked for. */
  #report(): void {
    const inFlight = new Map<string, number>();
    const asked = new Map<string, number>();
    const hosts = [...this.#hosts.values()].flat();
    for (const host of hosts) {
      host.report(inFlight, asked);
    }
    for (const host of hosts) {
      host.take({ inFlight, asked });
    }
  }
}
