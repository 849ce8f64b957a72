import type { LeftOut, Route, TargetState } from '@ferrylock/routing';
import { jittered, pickOne, randomIndex, SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import { EmulatedHost, routeOf } from './emulated-host.js';
import { EmulatedTarget } from './emulated-target.js';
import type { TargetWork } from './emulated-target.js';
import { Disruptions } from './disruptions.js';
import type { Outcome } from './outcome.js';
import { OutcomeCounter } from './outcome.js';
import type { RequestClass, Scenario } from './scenario.js';
import { VirtualTime } from './virtual-time.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Mean wait that a refused caller is told. */
const RETRY_AFTER_MILLISECONDS = 400;
/** Tries of a caller: the first, and one more after a refusal. */
const MOST_TRIES = 2;

export interface ExperimentOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly leftOut: LeftOut;
}

/** What one play shows: its figures, and the credit of each window. */
export interface Play {
  readonly outcome: Outcome;
  readonly windows: readonly number[];
}

/** A caller's request with all its tries. */
interface Asked {
  readonly requestClass: string;
  readonly settings: RequestClass;
  readonly route: Route;
  readonly key: string;
  readonly region: string;
  readonly askedAt: number;
  tries: number;
  refusals: number;
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
  readonly #disruptions: Disruptions;
  readonly #leftOut: LeftOut;

  constructor({ scenario, seed, leftOut }: ExperimentOptions) {
    this.#scenario = scenario;
    this.#leftOut = leftOut;
    this.#random = new SeededRandom(seed);
    this.#counter = new OutcomeCounter(scenario);
    this.#routes = new Map(
      Object.keys(scenario.classes).map((name) => [name, routeOf(name, scenario)]),
    );
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
      leftOut: this.#leftOut,
      isEvacuated: (place: string) => this.#disruptions.isEvacuated(place),
      hosts,
    };
    const host = new EmulatedHost(options, this.#targets.values());
    const { inRegionMilliseconds, betweenRegionsMilliseconds } = this.#scenario.deployment;
    for (const { options: target } of this.#targets.values()) {
      const isNear = target.region === region;
      const oneWay = isNear ? inRegionMilliseconds : betweenRegionsMilliseconds;
      host.service(target.service).roundTrips.record(target.region, 2 * oneWay);
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
      this.#ask(this.#drawRequest(region));
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

  /** A caller's try reaches a host of its region. */
  #ask(asked: Asked): void {
    const host = pickOne(this.#random, this.#hosts.get(asked.region) ?? []);
    asked.tries++;
    this.#time.after(this.#scenario.deployment.toCallersMilliseconds, () => {
      if (host === undefined) {
        this.#refuse(asked);
        return;
      }
      host.service(asked.settings.service).asked.record();
      host.service(asked.settings.service).retries.recordRequest();
      this.#tryTarget(asked, host, new Set());
    });
  }

  #tryTarget(asked: Asked, host: EmulatedHost, tried: Set<string>): void {
    const { route, key, settings } = asked;
    const state = host.choose(settings.service, { route, key, tried });
    if (state === undefined) {
      this.#refuse(asked);
      return;
    }
    tried.add(state.id);
    this.#send(asked, host, state, tried);
  }

  #send(asked: Asked, host: EmulatedHost, state: TargetState, tried: Set<string>): void {
    const target = this.#targets.get(state.id);
    const way = this.#oneWay(host, target);
    const sentAt = this.#time.now();
    const loadPerSlot = state.load(sentAt) / state.record.slots;
    state.inFlight++;
    this.#counter.sends++;
    this.#counter.sendsBetweenRegions += target?.options.region === host.region ? 0 : 1;
    const work: TargetWork = {
      key: asked.key,
      ...this.#workOf(asked.settings),
      onEnd: (wasKnown) => {
        this.#counter.knownObjects += wasKnown ? 1 : 0;
        this.#time.after(way, () => {
          cancelTimeout();
          state.inFlight--;
          if (target !== undefined) {
            state.recordLoad(target.load, this.#time.now());
          }
          const { route, key } = asked;
          const milliseconds = this.#time.now() - sentAt;
          const answered = { route, key, milliseconds, loadPerSlot };
          host.service(asked.settings.service).recordAnswer(state, answered);
          this.#answer(asked);
        });
      },
    };
    const cancelTimeout = this.#time.after(asked.settings.timeoutMilliseconds, () => {
      state.inFlight--;
      target?.cancel(work);
      if (state.answeredAt < sentAt) {
        this.#recordFailure(state);
      }
      this.#end(asked, undefined);
    });
    this.#time.after(way, () => {
      if (target?.take(work) !== true) {
        this.#time.after(way, () => {
          cancelTimeout();
          state.inFlight--;
          this.#takeRefusal(asked, host, state, tried);
        });
      }
    });
  }

  /** A target refused for lack of room, or is gone. */
  #takeRefusal(asked: Asked, host: EmulatedHost, state: TargetState, tried: Set<string>): void {
    const { service } = asked.settings;
    if (this.#targets.get(state.id)?.isGone === true) {
      this.#recordFailure(state);
    } else {
      state.recordShed(this.#time.now());
    }
    const hosts = this.#scenario.deployment.hosts;
    const mayTry = tried.size < asked.route.mostAttempts;
    if (mayTry && host.service(service).retries.tryTake(hosts)) {
      this.#tryTarget(asked, host, tried);
    } else {
      this.#refuse(asked);
    }
  }

  #recordFailure(state: TargetState): void {
    if (!this.#leftOut.has('ejection')) {
      state.recordFailure(this.#time.now());
    }
  }

  #workOf(settings: RequestClass): Pick<TargetWork, 'knownMilliseconds' | 'unknownMilliseconds'> {
    const { knownMilliseconds, unknownMilliseconds, spread } = settings;
    const factor = 1 + spread * (this.#random.next() - 0.5) * Math.sqrt(12);
    return {
      knownMilliseconds: knownMilliseconds * factor,
      unknownMilliseconds: unknownMilliseconds * factor,
    };
  }

  #oneWay(host: EmulatedHost, target: EmulatedTarget | undefined): number {
    const { inRegionMilliseconds, betweenRegionsMilliseconds } = this.#scenario.deployment;
    return target?.options.region === host.region
      ? inRegionMilliseconds
      : betweenRegionsMilliseconds;
  }

  #refuse(asked: Asked): void {
    asked.refusals++;
    const wait = jittered(this.#random, RETRY_AFTER_MILLISECONDS);
    const { toCallersMilliseconds } = this.#scenario.deployment;
    const left = asked.askedAt + asked.settings.deadlineMilliseconds - this.#time.now();
    if (asked.tries >= MOST_TRIES || wait + toCallersMilliseconds > left) {
      this.#end(asked, undefined);
      return;
    }
    this.#time.after(wait + toCallersMilliseconds, () => {
      this.#ask(asked);
    });
  }

  #answer(asked: Asked): void {
    const { toCallersMilliseconds } = this.#scenario.deployment;
    this.#end(asked, this.#time.now() + toCallersMilliseconds - asked.askedAt);
  }

  #end({ requestClass, region, askedAt, refusals }: Asked, milliseconds: number | undefined): void {
    this.#counter.take({ requestClass, region, askedAt, milliseconds, refusals });
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
