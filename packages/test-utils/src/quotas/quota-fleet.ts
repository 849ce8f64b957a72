import { unaccountedShare, ReportedCounts } from '@ferrylock/routing';
import type { ClientAccount, QuotaPolicy } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import { SeededRandom } from '@ferrylock/utils';
import type { MakeQuotaWay, QuotaWay, ToldUsage } from './quota-way.js';

/** Time that moves on by this in a step. */
const STEP_MILLISECONDS = 10;
/** Time between two looks at what hosts would tell. */
const SNAPSHOT_MILLISECONDS = 50;
/** Snapshots that are kept: the oldest news that a host may hear. */
const KEPT_SNAPSHOTS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time after which nothing is taken to be asked of a silent host. */
const SILENCE_MILLISECONDS = 1_800;
const ACCOUNT = 'account';
const NOTHING: ToldUsage = { used: 0, demandPerSecond: 0 };
/** What a process does not remember before its start: from a kill to the first request, at least. */
const DOWN_MILLISECONDS = 1_000;

export interface QuotaFleetOptions {
  readonly hosts: number;
  readonly account: ClientAccount;
  readonly bound: QuotaPolicy;
  readonly seed: number;
  readonly makeWay: MakeQuotaWay;
  /** Time between two digests to one host. */
  readonly digestMilliseconds: number;
  /** Age of the news in a digest, at most. */
  readonly mostAgeMilliseconds: number;
}

interface EmulatedHost {
  /** Names this start of it. */
  readonly source: string;
  way: QuotaWay;
  told: ToldUsage;
  lastTold: ToldUsage;
  toldAt: number;
  /** When it heard of the others last. */
  heardAt: number;
  nextDigestAt: number;
  /** Since when some host that it heard knows what ran. */
  rememberedSince: number;
  isDown: boolean;
  isCut: boolean;
}

/** A moment of the fleet, as its relays know it. */
interface Snapshot {
  readonly total: ToldUsage;
  readonly ofHosts: readonly ToldUsage[];
}

/**
 * Hosts that keep one account's limit together, in virtual time and without a network. News of a host
 * reaches the others late, by a random time; hosts can be cut off from the others, and killed.
 */
export class QuotaFleet implements Clock {
  /** Times at which requests ran, in milliseconds. */
  readonly ran: number[] = [];
  refused = 0;
  readonly #options: QuotaFleetOptions;
  readonly #random: Random;
  readonly #hosts: EmulatedHost[];
  readonly #snapshots: Snapshot[] = [];
  /** What the relays know of each host. */
  #held: ReportedCounts;
  #account: ClientAccount;
  #now = 0;
  #starts = 0;
  #weights: readonly number[] = [];
  #perSecond = 0;
  /** Part of the hosts that told of themselves lately. */
  #toldShare = 1;

  constructor(options: QuotaFleetOptions) {
    this.#options = options;
    this.#account = options.account;
    this.#random = new SeededRandom(options.seed);
    this.#held = new ReportedCounts(this, options.bound.windowMilliseconds);
    this.#hosts = Array.from({ length: options.hosts }, () => this.#makeHost(-Infinity));
  }

  now(): number {
    return this.#now;
  }

  wallTime(): Date {
    return new Date(this.#now);
  }

  sleep(): Promise<void> {
    throw new Error('hosts of this fleet do not sleep');
  }

  after(): () => void {
    throw new Error('hosts of this fleet do not wait');
  }

  /** What the account's callers ask for from now on, and how it is spread over the hosts. */
  ask(perSecond: number, weights: readonly number[]): void {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    this.#perSecond = perSecond;
    this.#weights = weights.map((weight) => weight / total);
  }

  setAccount(account: ClientAccount): void {
    this.#account = account;
    for (const { way } of this.#hosts) {
      way.setAccount(account);
    }
  }

  /** Cuts hosts off from all others, or joins them again. */
  cut(isCut: (host: number) => boolean): void {
    for (const [index, host] of this.#hosts.entries()) {
      host.isCut = isCut(index);
    }
  }

  /** Ends processes; their callers get nothing until they are back. */
  kill(isKilled: (host: number) => boolean): void {
    for (const [index, host] of this.#hosts.entries()) {
      host.isDown ||= isKilled(index);
    }
  }

  /** Starts all that were killed, with nothing remembered. */
  restart(): void {
    if (this.#hosts.every(({ isDown }) => isDown)) {
      this.#held = new ReportedCounts(this, this.#options.bound.windowMilliseconds);
      this.#snapshots.length = 0;
    }
    for (const [index, host] of this.#hosts.entries()) {
      if (host.isDown) {
        this.#held.markEnded(host.source);
        this.#hosts[index] = this.#makeHost(this.#now);
      }
    }
  }

  /** Plays on for a while. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    while (this.#now < end) {
      this.#now += STEP_MILLISECONDS;
      if (this.#now % SNAPSHOT_MILLISECONDS === 0) {
        this.#takeSnapshot();
      }
      for (const [index, host] of this.#hosts.entries()) {
        this.#hear(index, host);
        this.#serve(index, host);
      }
    }
  }

  /** Requests that ran in the fullest window of this length. */
  mostIn(windowMilliseconds: number): number {
    let first = 0;
    let most = 0;
    for (const [last, ranAt] of this.ran.entries()) {
      while ((this.ran[first] ?? 0) < ranAt - windowMilliseconds) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  #makeHost(startedAt: number): EmulatedHost {
    const { bound, makeWay, digestMilliseconds } = this.#options;
    return {
      source: `start ${this.#starts++}`,
      way: makeWay({ account: this.#account, bound, clock: this, random: this.#random }),
      told: NOTHING,
      lastTold: NOTHING,
      toldAt: -Infinity,
      heardAt: startedAt < 0 ? 0 : -Infinity,
      nextDigestAt: this.#now + digestMilliseconds * this.#random.next(),
      rememberedSince: startedAt,
      isDown: false,
      isCut: false,
    };
  }

  #takeSnapshot(): void {
    const told = this.#hosts.filter(({ toldAt }) => this.#now - toldAt <= SILENCE_MILLISECONDS);
    this.#toldShare = Math.max(1, told.length) / this.#hosts.length;
    const ofHosts = this.#hosts.map((host, index) => this.#toldBy(index, host));
    for (const [index, { isDown, isCut, source }] of this.#hosts.entries()) {
      if (!isDown && !isCut) {
        this.#held.record(source, { [ACCOUNT]: ofHosts[index]?.used ?? 0 });
      }
    }
    const used = this.#held.of(ACCOUNT, () => true);
    const askedPerSecond = sum(ofHosts.map((told) => told.demandPerSecond));
    this.#snapshots.push({ total: { used, demandPerSecond: askedPerSecond }, ofHosts });
    if (this.#snapshots.length > KEPT_SNAPSHOTS) {
      this.#snapshots.shift();
    }
  }

  /** What a host tells, or has told last; of one that is silent for long only its use is kept. */
  #toldBy(index: number, host: EmulatedHost): ToldUsage {
    if (!host.isDown && !host.isCut) {
      host.lastTold = host.way.tell(this.#sightOf(index, host));
      host.toldAt = this.#now;
    }
    return this.#now - host.toldAt <= SILENCE_MILLISECONDS ? host.lastTold : NOTHING;
  }

  #hear(index: number, host: EmulatedHost): void {
    const { digestMilliseconds, mostAgeMilliseconds } = this.#options;
    if (host.isDown || host.isCut || this.#now < host.nextDigestAt) {
      return;
    }
    host.nextDigestAt = this.#now + digestMilliseconds;
    const age = Math.ceil((mostAgeMilliseconds * this.#random.next()) / SNAPSHOT_MILLISECONDS);
    const snapshot = this.#snapshots.at(-1 - Math.min(age, this.#snapshots.length - 1));
    const { total = NOTHING, ofHosts = [] } = snapshot ?? {};
    const own = ofHosts[index] ?? NOTHING;
    host.told = {
      used: Math.max(0, total.used - own.used),
      demandPerSecond: Math.max(0, total.demandPerSecond - own.demandPerSecond),
    };
    host.heardAt = this.#now;
    const heard = this.#hosts.filter(({ isDown, isCut }) => !isDown && !isCut);
    host.rememberedSince = Math.min(...heard.map(({ rememberedSince }) => rememberedSince));
  }

  #serve(index: number, host: EmulatedHost): void {
    const expected =
      (this.#perSecond * (this.#weights[index] ?? 0) * STEP_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    for (let count = this.#drawCount(expected); count > 0 && !host.isDown; count--) {
      if (host.way.take(this.#sightOf(index, host))) {
        this.ran.push(this.#now);
      } else {
        this.refused++;
      }
    }
  }

  /** What is silent for long counts as not heard, whether it is cut off or ended. */
  #heardShare(host: EmulatedHost): number {
    const isDeaf = this.#now - host.heardAt > SILENCE_MILLISECONDS;
    return isDeaf ? 1 / this.#hosts.length : this.#toldShare;
  }

  #sightOf(place: number, host: EmulatedHost) {
    const { windowMilliseconds } = this.#options.bound;
    const remembered = this.#now - host.rememberedSince + DOWN_MILLISECONDS;
    const deafMilliseconds = this.#now - host.heardAt;
    const askedHosts = Math.max(1, this.#weights.filter((weight) => weight > 0).length);
    return {
      others: host.told,
      askedHosts,
      hosts: this.#hosts.length,
      place,
      heardShare: this.#heardShare(host),
      fleet: {
        isAlone: this.#hosts.length === 1,
        peerReportAgeMilliseconds: deafMilliseconds,
        isolatedShare: 1 / (3 * this.#hosts.length),
        unaccountedShare: unaccountedShare(remembered, windowMilliseconds),
      },
    };
  }

  /** A count with a given mean (Poisson, by products of random numbers). */
  #drawCount(mean: number): number {
    const least = Math.exp(-mean);
    let count = 0;
    for (let product = this.#random.next(); product > least; product *= this.#random.next()) {
      count++;
    }
    return count;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
