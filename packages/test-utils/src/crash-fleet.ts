import type { Route, TargetRecord, TargetState } from '@ferrylock/routing';
import { SuspectTable } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import type { EntryFleetHost } from './entry-fleet.js';
import { EntryFleet } from './entry-fleet.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** From the moment at which a target begins to run such a request to its end. */
const CRASH_AFTER_MILLISECONDS = 60;
/** A target that ended is back after this, as another start, and is cold for a while. */
const BACK_AFTER_MILLISECONDS = 1_500;
const COLD_MILLISECONDS = 3_000;
/** The record of a target that ended goes after three heartbeats of silence. */
const RECORD_GONE_AFTER_MILLISECONDS = 2_500;
/** From a lost answer to the host's knowing that the target has ended. */
const NOTICED_AFTER_MILLISECONDS = 60;
/** Targets that one request is sent to. */
const MOST_SENDS = 2;
/** Work on an ordinary look-up. */
const WORK_MILLISECONDS = 160;

/** How a request ended for its caller. */
export type CrashFleetAnswer = 'answered' | 'lost' | 'no-room' | 'turned-away';

/** Nothing, as before; each host by what it saw itself; or all by what they told one another. */
export type CrashFleetWay = 'nothing' | 'alone' | 'together';

export interface CrashFleetOptions {
  readonly clock: Clock;
  readonly hosts: number;
  readonly domains: number;
  readonly targets: number;
  readonly seed: number;
  /** What hosts make of ends: what they do in truth, unless another way is given to compare with. */
  readonly way?: CrashFleetWay;
  /** Part of its runs that such a request ends its target in. */
  readonly crashShare?: number;
}

/** A request that callers send again and again. */
export interface RepeatedRequest {
  readonly name: string;
  /** Whether it ends targets that begin to run it. */
  readonly crashes: boolean;
}

/** A send that reached a target. */
export interface CrashFleetSend {
  readonly at: number;
  readonly name: string;
  /** Whether the target ended under it. */
  readonly ended: boolean;
}

interface Run {
  readonly request: RepeatedRequest;
  readonly host: EntryFleetHost;
  readonly settle: (answer: 'answered' | 'lost') => void;
}

/** A target's process. */
interface EmulatedProcess {
  readonly record: TargetRecord;
  readonly runs: Set<Run>;
  isEnded: boolean;
}

/**
 * Entry hosts in front of targets that end when they begin to run certain requests, all in virtual time and
 * without a network. The hosts' part in the fleet is the real one; a request's way through a host is emulated:
 * it is sent to a target, and to a second one where the first ended under it.
 */
export class CrashFleet {
  readonly fleet: EntryFleet;
  /** Sends of requests that end targets, as they reached these. */
  readonly sends: CrashFleetSend[] = [];
  /** Ordinary requests that were turned away. */
  readonly turnedAway: { readonly at: number; readonly name: string }[] = [];
  /** Answers by the request's name. */
  readonly answers = new Map<string, Record<CrashFleetAnswer, number>>();
  readonly #options: CrashFleetOptions;
  readonly #random: Random;
  /** What hosts know that do not tell one another, by the host's name. */
  readonly #alone = new Map<string, SuspectTable>();
  readonly #processes = new Map<string, EmulatedProcess>();

  constructor(options: CrashFleetOptions) {
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

  /** Sends of a request that came to targets after a moment. */
  sentAfter(name: string, at: number): number {
    return this.sends.filter((send) => send.name === name && send.at > at).length;
  }

  /** When so many targets had ended under a request; infinite while they have not. */
  endedAt(name: string, count: number): number {
    const ends = this.sends.filter((send) => send.name === name && send.ended);
    return ends[count - 1]?.at ?? Infinity;
  }

  /** Requests of callers that come one after the other at random hosts, until a moment. */
  async call(request: RepeatedRequest, perSecond: number, until: number): Promise<void> {
    const { clock } = this.#options;
    const gap = MILLISECONDS_PER_SECOND / perSecond;
    while (clock.now() < until) {
      await clock.sleep(2 * gap * this.#random.next());
      void this.ask(randomIndex(this.#random, this.fleet.hosts.length), request);
    }
  }

  /** One request of a caller at one host. */
  async ask(index: number, request: RepeatedRequest): Promise<CrashFleetAnswer> {
    const host = this.fleet.hosts[index];
    const answer = host === undefined ? 'no-room' : await this.#forward(host, request);
    const counts = this.answers.get(request.name) ?? {
      answered: 0,
      lost: 0,
      'no-room': 0,
      'turned-away': 0,
    };
    counts[answer]++;
    if (answer === 'turned-away' && !request.crashes) {
      this.turnedAway.push({ at: this.#options.clock.now(), name: request.name });
    }
    this.answers.set(request.name, counts);
    return answer;
  }

  /** Ends so many targets at once, for no reason that a request has. */
  endTargets(count: number): void {
    const running = [...this.#processes.values()].filter(({ isEnded }) => !isEnded);
    for (const process of running.slice(0, count)) {
      this.#end(process);
    }
  }

  async #forward(host: EntryFleetHost, request: RepeatedRequest): Promise<CrashFleetAnswer> {
    const tried = new Set<string>();
    for (let sends = 0; sends < MOST_SENDS; sends++) {
      if (!(await this.#mayRun(host, request))) {
        return sends === 0 ? 'turned-away' : 'lost';
      }
      const target = this.#choose(host, request, tried);
      if (target === undefined) {
        return sends === 0 ? 'no-room' : 'lost';
      }
      tried.add(target.id);
      if ((await this.#send(host, request, target)) === 'answered') {
        return 'answered';
      }
    }
    return 'lost';
  }

  #choose(
    { member, record }: EntryFleetHost,
    { name }: RepeatedRequest,
    tried: ReadonlySet<string>,
  ): TargetState | undefined {
    const [route] = this.fleet.routes;
    const service = member.state.service(serviceOf(route));
    return route === undefined
      ? undefined
      : service?.select({
          route,
          key: name,
          tried,
          lowestPriority: 2,
          ownName: record.name,
          coldSenders: member.hostNames,
        });
  }

  async #send(
    host: EntryFleetHost,
    request: RepeatedRequest,
    target: TargetState,
  ): Promise<'answered' | 'lost'> {
    const { clock } = this.#options;
    const service = host.member.state.serviceOfTarget(target.id);
    const process = this.#processOf(target.record);
    if (process.isEnded) {
      service?.recordFailure(target);
      return 'lost';
    }
    target.inFlight++;
    const sentAt = clock.now();
    const outcome = await new Promise<'answered' | 'lost'>((settle) => {
      this.#run(process, { request, host, settle });
    });
    target.inFlight--;
    if (outcome === 'lost') {
      service?.recordFailure(target);
      this.#notice(host, request, target);
    } else {
      this.#recordAnswer(host, request);
      const [route] = this.fleet.routes;
      const milliseconds = clock.now() - sentAt;
      if (route !== undefined) {
        service?.recordResponse(target, { route, key: request.name, milliseconds, loadPerSlot: 0 });
      }
    }
    return outcome;
  }

  #run(process: EmulatedProcess, run: Run): void {
    const { clock, crashShare = 1 } = this.#options;
    const { request } = run;
    const ends = request.crashes && this.#random.next() < crashShare;
    process.runs.add(run);
    if (request.crashes) {
      this.sends.push({ at: clock.now(), name: request.name, ended: ends });
    }
    clock.after(ends ? CRASH_AFTER_MILLISECONDS : WORK_MILLISECONDS, () => {
      if (ends) {
        this.#end(process);
      } else if (process.runs.delete(run)) {
        run.settle('answered');
      }
    });
  }

  #mayRun({ member, record }: EntryFleetHost, { name }: RepeatedRequest): Promise<boolean> {
    return this.#options.way === 'alone'
      ? Promise.resolve(!this.#tableOf(record.name).isSuspect(name))
      : member.suspects.mayRun(name);
  }

  #recordAnswer({ member, record }: EntryFleetHost, { name }: RepeatedRequest): void {
    this.#tableOf(record.name).recordResponse(name);
    member.suspects.recordAnswer(name);
  }

  #tableOf(host: string): SuspectTable {
    const known = this.#alone.get(host) ?? new SuspectTable(this.#options.clock);
    this.#alone.set(host, known);
    return known;
  }

  /** The host comes to know that the target has ended, and that it had the request. */
  #notice(
    { member, record }: EntryFleetHost,
    { name }: RepeatedRequest,
    { id }: TargetState,
  ): void {
    const lost = { fingerprint: name, requestId: name, route: name, path: name };
    this.#options.clock.after(NOTICED_AFTER_MILLISECONDS, () => {
      if (this.#options.way === 'alone') {
        this.#tableOf(record.name).recordCrash(name, id);
      } else if (this.#options.way !== 'nothing') {
        member.suspects.recordCrash({ target: id, requests: [lost] });
      }
    });
  }

  #end(process: EmulatedProcess): void {
    if (process.isEnded) {
      return;
    }
    const { clock } = this.#options;
    process.isEnded = true;
    for (const run of process.runs) {
      run.settle('lost');
    }
    process.runs.clear();
    const { record } = process;
    const back = { ...record, id: `${record.id}+`, coldMilliseconds: COLD_MILLISECONDS };
    clock.after(BACK_AFTER_MILLISECONDS, () => {
      this.fleet.store.put(`targets/${back.id}`, { kind: 'target', target: back });
    });
    clock.after(RECORD_GONE_AFTER_MILLISECONDS, () => {
      this.fleet.store.remove(`targets/${record.id}`);
      this.#processes.delete(record.id);
    });
  }

  #processOf(record: TargetRecord): EmulatedProcess {
    const known = this.#processes.get(record.id) ?? { record, runs: new Set(), isEnded: false };
    this.#processes.set(record.id, known);
    return known;
  }
}

function serviceOf(route: Route | undefined): string {
  return route?.shares[0]?.service ?? '';
}
