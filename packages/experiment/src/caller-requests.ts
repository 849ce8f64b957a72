import type { Route, TargetState } from '@ferrylock/routing';
import { jittered, pickOne } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import type { EmulatedHost } from './emulated-host.js';
import type { EmulatedTarget, TargetWork } from './emulated-target.js';
import type { OutcomeCounter } from './outcome.js';
import type { RequestClass, Scenario } from './scenario.js';
import type { VirtualTime } from './virtual-time.js';

/** Mean wait that a refused caller is told. */
const RETRY_AFTER_MILLISECONDS = 400;
/** Tries of a caller: the first, and one more after a refusal. */
const MOST_TRIES = 2;

/** A caller's request with all its tries. */
export interface Asked {
  readonly requestClass: string;
  readonly settings: RequestClass;
  readonly route: Route;
  readonly key: string;
  readonly region: string;
  readonly askedAt: number;
  tries: number;
  refusals: number;
}

export interface CallerRequestsOptions {
  readonly scenario: Scenario;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly targets: ReadonlyMap<string, EmulatedTarget>;
  readonly hostsOf: (region: string) => readonly EmulatedHost[];
  readonly counter: OutcomeCounter;
}

/** Takes callers' requests through hosts and targets to their ends. */
export class CallerRequests {
  readonly #options: CallerRequestsOptions;

  constructor(options: CallerRequestsOptions) {
    this.#options = options;
  }

  /** A caller's try reaches a host of its region. */
  ask(asked: Asked): void {
    const host = pickOne(this.#options.random, this.#options.hostsOf(asked.region));
    asked.tries++;
    this.#options.time.after(this.#options.scenario.deployment.toCallersMilliseconds, () => {
      if (host === undefined) {
        this.#refuse(asked);
        return;
      }
      host.service(asked.settings.service).requestRate.record();
      host.service(asked.settings.service).retryBudget.recordRequest();
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
    const target = this.#options.targets.get(state.id);
    const way = this.#oneWay(host, target);
    const sentAt = this.#options.time.now();
    const loadPerSlot = state.load(sentAt) / state.record.slots;
    state.inFlight++;
    this.#options.counter.sends++;
    this.#options.counter.sendsBetweenRegions += target?.options.region === host.region ? 0 : 1;
    const work: TargetWork = {
      key: asked.key,
      ...this.#workOf(asked.settings),
      onEnd: (wasKnown) => {
        this.#options.counter.knownObjects += wasKnown ? 1 : 0;
        this.#options.time.after(way, () => {
          cancelTimeout();
          state.inFlight--;
          if (target !== undefined) {
            state.recordLoad({ running: target.load, waiting: 0 }, this.#options.time.now());
          }
          const { route, key } = asked;
          const milliseconds = this.#options.time.now() - sentAt;
          const answered = { route, key, milliseconds, loadPerSlot };
          host.service(asked.settings.service).recordResponse(state, answered);
          this.#answer(asked);
        });
      },
    };
    const cancelTimeout = this.#options.time.after(asked.settings.timeoutMilliseconds, () => {
      state.inFlight--;
      target?.cancel(work);
      if (state.lastResponseAt < sentAt) {
        host.service(asked.settings.service).recordFailure(state);
      }
      this.#end(asked, undefined);
    });
    this.#options.time.after(way, () => {
      const rest = target?.restFor(host.name);
      if (rest !== undefined || target?.take(work) !== true) {
        this.#options.time.after(way, () => {
          cancelTimeout();
          state.inFlight--;
          state.signals.recordRest(rest ?? 0, this.#options.time.now());
          this.#takeRefusal(asked, host, state, tried);
        });
      }
    });
  }

  /** A target refused for lack of room, or is gone. */
  #takeRefusal(asked: Asked, host: EmulatedHost, state: TargetState, tried: Set<string>): void {
    const { service } = asked.settings;
    if (this.#options.targets.get(state.id)?.isGone === true) {
      host.service(asked.settings.service).recordFailure(state);
    } else {
      state.recordShed(this.#options.time.now());
    }
    const mayTry = tried.size < asked.route.mostAttempts;
    if (mayTry && host.service(service).retryBudget.tryAcquire()) {
      this.#tryTarget(asked, host, tried);
    } else {
      this.#refuse(asked);
    }
  }

  #workOf(settings: RequestClass): Pick<TargetWork, 'knownMilliseconds' | 'unknownMilliseconds'> {
    const { knownMilliseconds, unknownMilliseconds, spread } = settings;
    const factor = 1 + spread * (this.#options.random.next() - 0.5) * Math.sqrt(12);
    return {
      knownMilliseconds: knownMilliseconds * factor,
      unknownMilliseconds: unknownMilliseconds * factor,
    };
  }

  #oneWay(host: EmulatedHost, target: EmulatedTarget | undefined): number {
    const { inRegionMilliseconds, betweenRegionsMilliseconds } = this.#options.scenario.deployment;
    return target?.options.region === host.region
      ? inRegionMilliseconds
      : betweenRegionsMilliseconds;
  }

  #refuse(asked: Asked): void {
    asked.refusals++;
    const wait = jittered(this.#options.random, RETRY_AFTER_MILLISECONDS);
    const { toCallersMilliseconds } = this.#options.scenario.deployment;
    const left = asked.askedAt + asked.settings.deadlineMilliseconds - this.#options.time.now();
    if (asked.tries >= MOST_TRIES || wait + toCallersMilliseconds > left) {
      this.#end(asked, undefined);
      return;
    }
    this.#options.time.after(wait + toCallersMilliseconds, () => {
      this.ask(asked);
    });
  }

  #answer(asked: Asked): void {
    const { toCallersMilliseconds } = this.#options.scenario.deployment;
    this.#end(asked, this.#options.time.now() + toCallersMilliseconds - asked.askedAt);
  }

  #end({ requestClass, region, askedAt, refusals }: Asked, milliseconds: number | undefined): void {
    this.#options.counter.take({ requestClass, region, askedAt, milliseconds, refusals });
  }
}
