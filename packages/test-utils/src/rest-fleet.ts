import { EventLog, TargetWords } from '@ferrylock/entry';
import type { LeftOut, Route, ServiceTargets, TargetState } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import { randomIndex, SeededRandom, silentLogger } from '@ferrylock/utils';
import type { EntryFleetHost } from './entry-fleet.js';
import { EntryFleet } from './entry-fleet.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Targets that one request is sent to. */
const MOST_SENDS = 2;
/** Work on an object that the target worked on before, and on another. */
const KNOWN_MILLISECONDS = 145;
const UNKNOWN_MILLISECONDS = 480;
/** Requests for each slot above which a target turns away of itself, and for how long it then wants no more. */
const FULL_PER_SLOT = 3;

/** From a host's being asked for rest to the others' knowing, and how often a hint is renewed there. */
const TOLD_AFTER_MILLISECONDS = 150;
const HINT_MILLISECONDS = 90;

/** What a target does with a request. */
export interface TargetReply {
  /** It turns the request away and wants none from this host for so long; 0 asks for nothing. */
  readonly restMilliseconds?: number;
  /** Its answer says that it leaves. */
  readonly isLeaving?: boolean;
}

/** A request that reached a target. */
export interface FleetArrival {
  readonly host: string;
  readonly target: string;
  readonly at: number;
  /** When its caller sent it. */
  readonly askedAt: number;
  /** What the target replied, at that moment. */
  readonly reply: TargetReply;
}

/** Decides how a target replies; `undefined` leaves it to the target's load. */
export type TargetConduct = (arrival: Omit<FleetArrival, 'reply'>) => TargetReply | undefined;

/**
 * What a host makes of a rest that another one was asked for. `hint`: it prefers other targets as long; `hint-from-two`: once
 * two hosts were asked.
 */
export type RestOfOthers = 'nothing' | 'the-same' | 'hint' | 'hint-from-two';

/** How a request ended for its caller. */
export type RestFleetAnswer = 'answered' | 'refused';

export interface RestFleetOptions {
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
  readonly leftOut?: LeftOut;
}

/** One caller's request. */
interface Asked {
  readonly host: EntryFleetHost;
  readonly words: TargetWords;
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
export class RestFleet {
  readonly fleet: EntryFleet;
  readonly arrivals: FleetArrival[] = [];
  readonly answers: Record<RestFleetAnswer, number> = { answered: 0, refused: 0 };
  /** Milliseconds from the request to its answer. */
  readonly times: number[] = [];
  readonly #options: RestFleetOptions;
  readonly #random: Random;
  readonly #words = new Map<string, TargetWords>();
  readonly #loads = new Map<string, EmulatedLoad>();
  /** Hosts that each target asked for rest, with the end of it. */
  readonly #asked = new Map<string, Map<string, number>>();
  /** Requests that a host may have at a target that it comes back to, by host and target. */
  readonly #steps = new Map<string, number>();

  constructor(options: RestFleetOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.fleet = new EntryFleet({
      ...options,
      largeHostsPerDomain: options.hosts,
      targetsPerService: options.targets,
      services: 1,
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

  /** Requests for one object that come one after the other at random hosts, until a moment. */
  async call(key: string, perSecond: number, until: number): Promise<void> {
    const { clock } = this.#options;
    const gap = MILLISECONDS_PER_SECOND / perSecond;
    while (clock.now() < until) {
      await clock.sleep(2 * gap * this.#random.next());
      void this.ask(randomIndex(this.#random, this.fleet.hosts.length), key);
    }
  }

  /** One request of a caller at one host. */
  async ask(index: number, key: string): Promise<RestFleetAnswer> {
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

  /**
   * The most requests that reached a target from a host in one of its rests, from a moment after the answer that
   * asked for it.
   */
  mostInOneRest(afterMilliseconds: number): number {
    const rests = this.arrivals.filter(({ reply }) => (reply.restMilliseconds ?? 0) > 0);
    const counts = rests.map(({ host, target, at, reply }) => {
      const from = at + afterMilliseconds;
      const until = at + (reply.restMilliseconds ?? 0);
      const isIn = (arrival: FleetArrival): boolean =>
        arrival.host === host &&
        arrival.target === target &&
        arrival.at > from &&
        arrival.at < until;
      return this.arrivals.filter(isIn).length;
    });
    return Math.max(0, ...counts);
  }

  /** Requests that callers sent later than this after a target's first word to a host that it leaves, and that reached it. */
  sentAfterLeaving(afterMilliseconds: number): number {
    const saidAt = new Map<string, number>();
    let count = 0;
    for (const { host, target, at, askedAt, reply } of this.arrivals) {
      const pair = `${host} ${target}`;
      const said = saidAt.get(pair);
      count += Number(said !== undefined && askedAt > said + afterMilliseconds);
      if (reply.isLeaving === true && said === undefined) {
        saidAt.set(pair, at + this.#way);
      }
    }
    return count;
  }

  get #way(): number {
    return this.#options.wayMilliseconds ?? 1;
  }

  async #forward(asked: Asked): Promise<RestFleetAnswer> {
    const service = this.#service(asked.host);
    const [route] = this.fleet.routes;
    if (service === undefined || route === undefined) {
      return 'refused';
    }
    service.asked.record();
    service.retries.recordRequest();
    const tried = new Set<string>();
    while (tried.size < MOST_SENDS) {
      const isAgain = tried.size > 0;
      if (isAgain && !service.retries.tryTake(this.fleet.hosts.length)) {
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
    return service.choose({
      route,
      key,
      tried: this.#withHeldBack(record.name, service, tried),
      leastUrgent: 2,
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
    this.arrivals.push({ ...arrival, reply });
    const isTurnedAway = reply.restMilliseconds !== undefined;
    const load = isTurnedAway ? undefined : await this.#run(target, key);
    await clock.sleep(this.#way);
    target.inFlight--;
    words.take(service, target, {
      isLeaving: reply.isLeaving === true,
      restMilliseconds: reply.restMilliseconds === 0 ? undefined : reply.restMilliseconds,
    });
    if (isTurnedAway) {
      target.recordShed(clock.now());
      this.#steps.set(`${host.record.name} ${target.id}`, 1);
      this.#tellOthers(host, target, reply.restMilliseconds);
      return false;
    }
    target.recordLoad(load ?? 0, clock.now());
    this.#takeStep(host, target);
    service.recordAnswer(target, { route, key, milliseconds: clock.now() - sentAt, loadPerSlot });
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

  #tellOthers(host: EntryFleetHost, { id }: TargetState, milliseconds = 0): void {
    const { clock, others = 'nothing' } = this.#options;
    const until = clock.now() + milliseconds;
    const asked = this.#asked.get(id) ?? new Map<string, number>();
    this.#asked.set(id, asked.set(host.record.name, until));
    const askedNow = [...asked.values()].filter((end) => end > clock.now()).length;
    if (
      milliseconds === 0 ||
      others === 'nothing' ||
      (others === 'hint-from-two' && askedNow < 2)
    ) {
      return;
    }
    clock.after(TOLD_AFTER_MILLISECONDS, () => {
      for (const other of this.fleet.hosts.filter((entry) => entry !== host)) {
        this.#hear(other, id, until);
      }
    });
  }

  /** A host hears that another one was asked for rest. */
  #hear(host: EntryFleetHost, id: string, until: number): void {
    const { clock, others } = this.#options;
    const now = clock.now();
    const target = this.#service(host)?.targets.get(id);
    if (now >= until) {
      return;
    }
    if (others === 'the-same') {
      target?.word.recordRest(until - now, now);
    } else {
      target?.recordShed(now);
      clock.after(HINT_MILLISECONDS, () => {
        this.#hear(host, id, until);
      });
    }
  }

  #service(host: EntryFleetHost | undefined): ServiceTargets | undefined {
    return host?.member.state.service(this.fleet.routes[0]?.shares[0]?.service ?? '');
  }

  #wordsOf({ record }: EntryFleetHost): TargetWords {
    const { clock } = this.#options;
    const known = this.#words.get(record.name);
    const words = known ?? new TargetWords({ clock, events: new EventLog(silentLogger) });
    this.#words.set(record.name, words);
    return words;
  }

  #loadOf(id: string): EmulatedLoad {
    const known = this.#loads.get(id) ?? { running: 0, waiting: [], known: new Set<string>() };
    this.#loads.set(id, known);
    return known;
  }
}
