import { EventLog, TargetSignalRecorder } from '@ferrylock/entry';
import type { DisabledMechanisms, Route, ServiceTargets, TargetState } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import { randomIndex, SeededRandom, silentLogger } from '@ferrylock/utils';
import type { EntryFleetHost } from '../entry-fleet.js';
import { EntryFleet } from '../entry-fleet.js';
import { FleetArrivals } from './fleet-arrivals.js';
import type { TargetConduct, TargetReply } from './fleet-arrivals.js';
import type { RestOfOthers } from './told-rests.js';
import { ToldRests } from './told-rests.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Targets that one request is sent to. */
const MOST_SENDS = 2;
/** Work on an object that the target worked on before, and on another. */
const KNOWN_MILLISECONDS = 145;
const UNKNOWN_MILLISECONDS = 480;
/** Requests for each slot above which a target turns away of itself, and for how long it then wants no more. */
const FULL_PER_SLOT = 3;

/** How a request ended for its caller. */
export type WordFleetAnswer = 'answered' | 'refused';

export interface WordFleetOptions {
  readonly clock: Clock;
  readonly hosts: number;
  readonly domains: number;
  readonly targets: number;
  readonly seed: number;
  readonly conduct: TargetConduct;
  /** From a host to a target, in milliseconds. */
  readonly wayMilliseconds?: number;
  /** What hosts make of a rest that another host was asked for: nothing, unless it is to be compared. */
  readonly others?: RestOfOthers;
  /** How a host comes back to a target whose rest is over: at once, unless it is to be compared. */
  readonly comeBack?: 'at-once' | 'by-steps';
  /** Decisions that hosts do without, to compare with. */
  readonly disabledMechanisms?: DisabledMechanisms;
}

/** One caller's request. */
interface Asked {
  readonly host: EntryFleetHost;
  readonly words: TargetSignalRecorder;
  readonly key: string;
  readonly askedAt: number;
}

/** What a target has to do. */
interface EmulatedLoad {
  running: number;
  waiting: (() => void)[];
  readonly known: Set<string>;
}

/**
 * Entry hosts in front of targets that ask for rest or say that they leave, all in virtual time and without a network. The
 * hosts' part in the fleet, their choices and what they make of targets' words are the real ones; a request's way through
 * a host is emulated. All that is counted is counted at the targets.
 */
export class WordFleet {
  readonly fleet: EntryFleet;
  readonly arrivals: FleetArrivals;
  readonly answers: Record<WordFleetAnswer, number> = { answered: 0, refused: 0 };
  /** Milliseconds from the request to its answer. */
  readonly times: number[] = [];
  readonly #options: WordFleetOptions;
  readonly #random: Random;
  readonly #words = new Map<string, TargetSignalRecorder>();
  readonly #loads = new Map<string, EmulatedLoad>();
  readonly #told: ToldRests;
  /** Requests that a host may have at a target that it comes back to, by host and target. */
  readonly #steps = new Map<string, number>();

  constructor(options: WordFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.fleet = new EntryFleet({
      ...options,
      largeHostsPerDomain: options.hosts,
      targetsPerService: options.targets,
      services: 1,
    });
    this.arrivals = new FleetArrivals(this.#way);
    this.#told = new ToldRests({
      clock: options.clock,
      others: options.others ?? 'nothing',
      atOthers: (host, target) => this.#atOthers(host, target),
    });
    this.fleet.start();
  }

  get targets(): string[] {
    return [...(this.#service(this.fleet.hosts[0])?.targets.keys() ?? [])];
  }

  /** The service as a host knows it. */
  serviceAt(index: number): ServiceTargets | undefined {
    return this.#service(this.fleet.hosts[index]);
  }

  /**
   * Requests for one object that come one after the other, until a moment.
   *
   * @param hostAt - which host a request comes to; any of them where nothing is said
   */
  async call(
    key: string,
    perSecond: number,
    until: number,
    hostAt: (now: number) => number = () => randomIndex(this.#random, this.fleet.hosts.length),
  ): Promise<void> {
    const { clock } = this.#options;
    const gap = MILLISECONDS_PER_SECOND / perSecond;
    while (clock.now() < until) {
      await clock.sleep(2 * gap * this.#random.next());
      void this.ask(hostAt(clock.now()), key);
    }
  }

  /** One request of a caller at one host. */
  async ask(index: number, key: string): Promise<WordFleetAnswer> {
    const host = this.fleet.hosts[index];
    const askedAt = this.#options.clock.now();
    const answer =
      host === undefined
        ? 'refused'
        : await this.#forward({ host, words: this.#wordsOf(host), key, askedAt });
    this.answers[answer]++;
    if (answer === 'answered') {
      this.times.push(this.#options.clock.now() - askedAt);
    }
    return answer;
  }

  get #way(): number {
    return this.#options.wayMilliseconds ?? 1;
  }

  async #forward(asked: Asked): Promise<WordFleetAnswer> {
    const service = this.#service(asked.host);
    const [route] = this.fleet.routes;
    if (service === undefined || route === undefined) {
      return 'refused';
    }
    service.requestRate.record();
    service.retryBudget.recordRequest();
    const tried = new Set<string>();
    while (tried.size < MOST_SENDS) {
      const isAgain = tried.size > 0;
      if (isAgain && !service.retryBudget.tryAcquire()) {
        return 'refused';
      }
      const target = this.#choose(asked, service, route, tried);
      if (target === undefined) {
        return 'refused';
      }
      tried.add(target.id);
      if (await this.#send(asked, service, route, target)) {
        return 'answered';
      }
    }
    return 'refused';
  }

  #choose(
    { host: { member, record }, key }: Asked,
    service: ServiceTargets,
    route: Route,
    tried: ReadonlySet<string>,
  ): TargetState | undefined {
    return service.select({
      route,
      key,
      tried: this.#withHeldBack(record.name, service, tried),
      lowestPriority: 2,
      ownName: record.name,
      coldSenders: member.hostNames,
    });
  }

  /** Adds targets that the host comes back to and that have as many of its requests as they may. */
  #withHeldBack(
    host: string,
    { targets }: ServiceTargets,
    tried: ReadonlySet<string>,
  ): ReadonlySet<string> {
    if (this.#options.comeBack !== 'by-steps' || this.#steps.size === 0) {
      return tried;
    }
    const isHeldBack = ({ id, inFlight }: TargetState): boolean =>
      inFlight >= (this.#steps.get(`${host} ${id}`) ?? Infinity);
    const heldBack = [...targets.values()].filter(isHeldBack).map(({ id }) => id);
    return new Set([...tried, ...heldBack]);
  }

  /** @returns whether the target ran it */
  async #send(
    asked: Asked,
    service: ServiceTargets,
    route: Route,
    target: TargetState,
  ): Promise<boolean> {
    const { clock, conduct } = this.#options;
    const { host, words, key, askedAt } = asked;
    const sentAt = clock.now();
    const loadPerSlot = target.load(sentAt) / target.record.slots;
    words.recordSend(target);
    target.inFlight++;
    await clock.sleep(this.#way);
    const arrival = { host: host.record.name, target: target.id, at: clock.now(), askedAt };
    const reply = conduct(arrival) ?? this.#replyByLoad(target);
    this.arrivals.all.push({ ...arrival, reply });
    const isTurnedAway = reply.restMilliseconds !== undefined;
    const load = isTurnedAway ? undefined : await this.#run(target, key);
    await clock.sleep(this.#way);
    target.inFlight--;
    words.recordResponse(
      service,
      target,
      {
        isLeaving: reply.isLeaving === true,
        restMilliseconds: reply.restMilliseconds === 0 ? undefined : reply.restMilliseconds,
        limitPerSecond: reply.limitPerSecond,
        unknownHeaders: [],
      },
      sentAt,
    );
    if (isTurnedAway) {
      target.recordShed(clock.now());
      this.#steps.set(`${host.record.name} ${target.id}`, 1);
      this.#told.tell(host.record.name, target.id, reply.restMilliseconds ?? 0);
      return false;
    }
    target.recordLoad({ running: load ?? 0, waiting: 0 }, clock.now());
    this.#takeStep(host, target);
    service.recordResponse(target, { route, key, milliseconds: clock.now() - sentAt, loadPerSlot });
    return true;
  }

  #replyByLoad(target: TargetState): TargetReply {
    const { running, waiting } = this.#loadOf(target.id);
    const isFull = running + waiting.length >= FULL_PER_SLOT * target.record.slots;
    return isFull ? { restMilliseconds: 0 } : {};
  }

  /** Runs it once a slot is free, and tells what the target has left. */
  async #run(target: TargetState, key: string): Promise<number> {
    const load = this.#loadOf(target.id);
    if (load.running >= target.record.slots) {
      await new Promise<void>((resolve) => load.waiting.push(resolve));
    }
    load.running++;
    const milliseconds = load.known.has(key) ? KNOWN_MILLISECONDS : UNKNOWN_MILLISECONDS;
    await this.#options.clock.sleep(milliseconds);
    load.known.add(key);
    load.running--;
    load.waiting.shift()?.();
    return load.running + load.waiting.length;
  }

  /** Each answer lets twice as many go there, until that is no limit any more. */
  #takeStep({ record }: EntryFleetHost, target: TargetState): void {
    const pair = `${record.name} ${target.id}`;
    const step = this.#steps.get(pair);
    if (step !== undefined && 2 * step >= target.record.slots) {
      this.#steps.delete(pair);
    } else if (step !== undefined) {
      this.#steps.set(pair, 2 * step);
    }
  }

  #atOthers(name: string, target: string): TargetState[] {
    const others = this.fleet.hosts.filter(({ record }) => record.name !== name);
    return others.flatMap((other) => this.#service(other)?.targets.get(target) ?? []);
  }

  #service(host: EntryFleetHost | undefined): ServiceTargets | undefined {
    return host?.member.state.service(this.fleet.routes[0]?.shares[0]?.service ?? '');
  }

  #wordsOf({ record, member }: EntryFleetHost): TargetSignalRecorder {
    const { clock } = this.#options;
    const known = this.#words.get(record.name);
    const words =
      known ??
      new TargetSignalRecorder({
        clock,
        events: new EventLog(silentLogger),
        onLimitChange: (target) => {
          member.limits.recordLimitChange(target);
        },
      });
    this.#words.set(record.name, words);
    return words;
  }

  #loadOf(id: string): EmulatedLoad {
    const known = this.#loads.get(id) ?? { running: 0, waiting: [], known: new Set<string>() };
    this.#loads.set(id, known);
    return known;
  }
}
