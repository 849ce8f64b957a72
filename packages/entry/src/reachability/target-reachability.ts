import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import { shuffled } from '@ferrylock/utils';
import type { BackgroundTasks, Clock, Random } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { CheckConnection, ConnectionCheck } from './check-connection.js';
import { COMMON_SILENCE_MILLISECONDS, DomainReachability } from './domain-reachability.js';
import {
  selectRandomWitnesses,
  selectWitnesses,
  targetsOf,
  WITNESSES,
} from './select-witnesses.js';

/** Limit on domains that one sweep begins to check. */
const MAX_CHECKS_PER_SWEEP = 8;
/** Unreachable domains that suffice as evidence where there are more. */
const SUFFICIENT_DOMAINS = 8;
/** Limit on targets that are asked whether a path is whole, beyond the most recent ones. */
const MAX_FURTHER_WITNESSES = 8;
/** Time for which an answer shows that open connections work. */
const ANSWER_TTL_MILLISECONDS = 1_000;

/** Outcome of the connection to one witness. */
interface WitnessCheck {
  readonly target: string;
  readonly connection: ConnectionCheck;
}

export interface TargetReachabilityOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly services: () => Iterable<ServiceTargets>;
  readonly checkConnection: CheckConnection;
  /** Number of other hosts that report to serve callers, for the log. */
  readonly peersServing: () => number;
  /** Called when this host begins or ceases to reach any target at all. */
  readonly onChange: () => void;
  /** Tells whether an idle connection to an address is open. */
  readonly hasIdleConnection: (address: string, inFlight: number) => boolean;
}

/**
 * Tells which failure domains' targets this host reaches, so that a broken path is not taken for
 * the failure of each target behind it. A failed connection attempt, or silence while requests are
 * in flight, is only a reason to check: new connections to targets that answered recently decide.
 */
export class TargetReachability {
  readonly #options: TargetReachabilityOptions;
  readonly #tasks: BackgroundTasks;
  readonly #domains = new Map<string, DomainReachability>();
  /** Time of the last answer or accepted connection. */
  #lastHeardAt = -Infinity;
  #unreachableCount = 0;
  #noneSince: number | undefined;

  constructor(options: TargetReachabilityOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
  }

  /** Whether this host reaches no target of any failure domain. */
  get reachesNone(): boolean {
    return this.#noneSince !== undefined;
  }

  /** Whether nothing has been heard from any target for a while. */
  get isSilent(): boolean {
    return this.#options.clock.now() - this.#lastHeardAt >= COMMON_SILENCE_MILLISECONDS;
  }

  /** Whether new connections to the targets of some failure domain fail. */
  get hasUnreachableDomains(): boolean {
    return this.#unreachableCount > 0;
  }

  /** Failure domains with targets to which new connections fail. */
  get unreachableDomains(): string[] {
    return this.#unreachableCount === 0
      ? []
      : [...this.#domains].flatMap(([name, { unreachableSince }]) =>
          unreachableSince === undefined ? [] : [name],
        );
  }

  /** Age of the oldest such belief in milliseconds; undefined if all domains are reachable. */
  get unreachableMilliseconds(): number | undefined {
    const times = this.unreachableDomains.map(
      (name) => this.#domains.get(name)?.unreachableSince ?? Infinity,
    );
    return times.length === 0 ? undefined : this.#options.clock.now() - Math.min(...times);
  }

  /**
   * Tells whether a request sent to a target now is expected to reach it. Where new connections
   * fail, open ones may still work: answers on them show it.
   */
  isReachable({ record, inFlight }: TargetState): boolean {
    const domain = this.#unreachableDomain(record.failureDomain);
    return (
      domain === undefined ||
      (this.#isAnswering(domain) && this.#options.hasIdleConnection(record.address, inFlight))
    );
  }

  /** Tells whether requests in flight at a target are expected to be there. */
  isHeard({ record }: TargetState): boolean {
    const domain = this.#unreachableDomain(record.failureDomain);
    return domain === undefined || this.#isAnswering(domain);
  }

  #unreachableDomain(name: string): DomainReachability | undefined {
    const domain = this.#unreachableCount === 0 ? undefined : this.#domains.get(name);
    return domain?.unreachableSince === undefined ? undefined : domain;
  }

  #isAnswering({ lastAnsweredAt }: DomainReachability): boolean {
    return this.#options.clock.now() - lastAnsweredAt < ANSWER_TTL_MILLISECONDS;
  }

  /**
   * Checks whether other targets of the failure domain accept connections, or targets of other
   * domains if it has no others.
   */
  async isPathWhole(target: TargetState): Promise<boolean> {
    const { random, services, checkConnection } = this.#options;
    const isOther = ({ id }: TargetState): boolean => id !== target.id;
    const near = targetsOf(services(), target.record.failureDomain).filter(isOther);
    const others = near.length > 0 ? near : targetsOf(services()).filter(isOther);
    const isAccepted = async (witnesses: readonly TargetState[]): Promise<boolean> => {
      const checks = witnesses.map(({ record }) => checkConnection(record.address));
      return (await Promise.all(checks)).includes('taken');
    };
    const recent = selectWitnesses(others, random);
    const further = shuffled(random, others).slice(0, MAX_FURTHER_WITNESSES);
    return others.length === 0 || (await isAccepted(recent)) || isAccepted(further);
  }

  recordSend({ record }: TargetState): void {
    this.#domain(record.failureDomain).recordSend(this.#options.clock.now());
  }

  /** Records that a send has ended, with an answer or without. */
  recordEnd({ record }: TargetState): void {
    this.#domain(record.failureDomain).recordEnd();
  }

  recordAnswer({ record }: TargetState): void {
    const now = this.#options.clock.now();
    this.#lastHeardAt = now;
    this.#domain(record.failureDomain).recordAnswer(now);
  }

  recordConnected(failureDomain: string): void {
    const now = this.#options.clock.now();
    const domain = this.#domain(failureDomain);
    domain.recordConnected(now);
    this.#lastHeardAt = Math.max(this.#lastHeardAt, domain.lastHeardAt);
  }

  recordConnectFailure({ record }: TargetState): void {
    this.#domain(record.failureDomain).suspect();
  }

  /** Begins checks that are due and updates the belief; called a few times a second. */
  sweep(): void {
    const now = this.#options.clock.now();
    const withTargets = this.#unreachableCount === 0 ? undefined : this.#suspectSilent(now);
    const { isSilent } = this;
    const due = [...this.#domains].filter(([, domain]) => domain.isCheckDue(now, isSilent));
    due.sort(([, a], [, b]) => (a.checkedAt === b.checkedAt ? 0 : a.checkedAt - b.checkedAt));
    for (const [name, domain] of due.slice(0, MAX_CHECKS_PER_SWEEP)) {
      this.#tasks.run('reachability check', () => this.#check(name, domain));
    }
    this.#updateReachesNone(withTargets ?? new Set(), now);
  }

  /** Suspects all domains that have not been heard; returns the domains with targets. */
  #suspectSilent(now: number): Set<string> {
    const names = new Set<string>();
    for (const { targets } of this.#options.services()) {
      for (const { leaving, record } of targets.values()) {
        if (!leaving) {
          names.add(record.failureDomain);
        }
      }
    }
    for (const name of names) {
      const domain = this.#domain(name);
      if (now - domain.lastHeardAt >= COMMON_SILENCE_MILLISECONDS) {
        domain.suspect();
      }
    }
    return names;
  }

  async #check(name: string, domain: DomainReachability): Promise<void> {
    const { clock, random, services } = this.#options;
    const targets = targetsOf(services(), name);
    const witnesses =
      domain.unreachableSince === undefined
        ? selectWitnesses(targets, random)
        : selectRandomWitnesses(targets, random);
    domain.beginCheck(clock.now());
    const checks = await this.#connectTo(witnesses).catch((error: unknown) => {
      domain.abandonCheck();
      throw error;
    });
    const accepted = checks.filter(({ connection }) => connection === 'taken').length;
    const silentMilliseconds = clock.now() - domain.lastHeardAt;
    const since = domain.unreachableSince;
    const change = domain.endCheck({ accepted, attempted: checks.length }, clock.now());
    this.#lastHeardAt = Math.max(this.#lastHeardAt, domain.lastHeardAt);
    if (change === undefined) {
      return;
    }
    this.#unreachableCount += change === 'lost' ? 1 : -1;
    this.#options.events.write({
      event: 'domain-reachability',
      failureDomain: name,
      isReachable: change === 'regained',
      milliseconds: roundFinite(
        change === 'lost' ? silentMilliseconds : clock.now() - (since ?? clock.now()),
      ),
      checks,
    });
  }

  /** Connects to two witnesses at once, and to the others only if neither accepts. */
  async #connectTo(witnesses: readonly TargetState[]): Promise<WitnessCheck[]> {
    const connect = async ({ id, record }: TargetState): Promise<WitnessCheck> => ({
      target: id,
      connection: await this.#options.checkConnection(record.address),
    });
    const first = await Promise.all(witnesses.slice(0, WITNESSES).map(connect));
    if (first.some(({ connection }) => connection === 'taken')) {
      return first;
    }
    const others = await Promise.all(witnesses.slice(WITNESSES).map(connect));
    return [...first, ...others];
  }

  #updateReachesNone(withTargets: ReadonlySet<string>, now: number): void {
    const { events, peersServing, onChange } = this.#options;
    const unreachable = [...withTargets].filter(
      (name) => this.#domains.get(name)?.unreachableSince !== undefined,
    );
    const sufficient = Math.min(withTargets.size, SUFFICIENT_DOMAINS);
    const isSilent = now - this.#lastHeardAt >= ANSWER_TTL_MILLISECONDS;
    const reachesNone = unreachable.length > 0 && unreachable.length >= sufficient && isSilent;
    if (reachesNone === this.reachesNone) {
      return;
    }
    const since = this.#noneSince ?? this.#lastHeardAt;
    this.#noneSince = reachesNone ? now : undefined;
    events.write({
      event: 'reachability',
      reachesNone,
      milliseconds: roundFinite(now - since),
      unreachable,
      failureDomains: withTargets.size,
      peersServing: peersServing(),
    });
    onChange();
  }

  #domain(name: string): DomainReachability {
    const known = this.#domains.get(name);
    if (known !== undefined) {
      return known;
    }
    const created = new DomainReachability();
    this.#domains.set(name, created);
    return created;
  }
}

/** Rounds a duration; one since a time that never was is 0, as JSON has no infinity. */
function roundFinite(milliseconds: number): number {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : 0;
}
