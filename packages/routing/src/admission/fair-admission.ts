import type { Clock, Random } from '@ferrylock/utils';
import { divideFairly } from './fair-parts.js';
import type { AccountDemand, FairParts } from './fair-parts.js';
import { ReturnSchedule } from './return-schedule.js';
import { loadPerSlot, servableShare } from './service-room.js';
import type { ServiceRoom } from './service-room.js';

/** Requests per slot from which a service is short: every slot is taken, and requests queue. */
const SHORT_LOAD = 1;
/**
 * Requests per slot from which accounts get no more than their parts: queues take half of a run,
 * which objectives close to the time of a run do not leave.
 */
const SCARCE_LOAD = 1.5;
/** Utilization of the slots that parts add up to; random arrivals need the rest. */
const MAX_UTILIZATION = 0.85;
/** Interval at which parts are computed; reports change them no faster. */
const UPDATE_MILLISECONDS = 200;
/** Age of reports from which demand elsewhere is unknown, so that no account has a part. */
const STALE_MILLISECONDS = 1_200;

/** Demand of all accounts over all hosts, as known to this one. */
export interface FleetDemand {
  readonly accounts: readonly AccountDemand[];
  /** Age of the last reports of most other hosts. */
  readonly ageMilliseconds: number;
}

/** Change of the accounts that get less than they ask for. */
export interface PartsChange {
  readonly service: string;
  readonly room: ServiceRoom;
  readonly ageMilliseconds: number;
  readonly parts: FairParts;
}

export interface FairAdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Whether every request may run. */
  readonly isDisabled: boolean;
  readonly demand: () => FleetDemand;
  /** Called when accounts begin or cease to get less of a service than they ask for. */
  readonly onChange: (change: PartsChange) => void;
}

/** Refusal of a request beyond its account's part. */
export interface OverPart {
  /** Requests per second of this service that the account gets over all hosts. */
  readonly partPerSecond: number;
  readonly demandPerSecond: number;
  readonly loadPerSlot: number;
  /** Time at which there is room for this request, among those refused before. */
  readonly retryAfterSeconds: number;
}

/** Parts of a service at one time. */
interface ServiceParts {
  readonly computedAt: number;
  /** Age of the reports that they rest on. */
  readonly ageMilliseconds: number;
  readonly parts: FairParts;
  readonly demands: ReadonlyMap<string, AccountDemand>;
}

/**
 * Answers the flood of an account within its limit: while a service is short of room, the account
 * that asks for more than its part is refused first, and for itself alone. Every host decides by
 * the same sums, so that what all hosts refuse adds up to the excess. Nothing is refused while
 * there is room, or while demand elsewhere is unknown.
 */
export class FairAdmission {
  /** Requests refused so far. */
  refused = 0;
  readonly #options: FairAdmissionOptions;
  readonly #services = new Map<string, ServiceParts>();
  readonly #returns: ReturnSchedule;

  constructor(options: FairAdmissionOptions) {
    this.#options = options;
    this.#returns = new ReturnSchedule(options.clock);
  }

  /** @returns undefined if a request of the account may run, or why not */
  check(account: string, service: string, room: ServiceRoom): OverPart | undefined {
    if (this.#options.isDisabled) {
      return undefined;
    }
    const load = loadPerSlot(room);
    if (load < SHORT_LOAD) {
      this.#clearParts(service, room);
      return undefined;
    }
    const { parts, demands } = this.#partsOf(service, room);
    const partPerSecond = parts.get(account);
    const demand = demands.get(account);
    if (partPerSecond === undefined || demand === undefined) {
      return undefined;
    }
    const excess = 1 - partPerSecond / demand.requestsPerSecond;
    const scarcity = Math.min(1, (load - SHORT_LOAD) / (SCARCE_LOAD - SHORT_LOAD));
    if (this.#options.random.next() >= excess * scarcity) {
      return undefined;
    }
    this.refused++;
    const ownShare = demand.ownPerSecond / demand.requestsPerSecond;
    return {
      partPerSecond,
      demandPerSecond: demand.requestsPerSecond,
      loadPerSlot: load,
      retryAfterSeconds: this.#returns.next(`${service} ${account}`, ownShare * partPerSecond),
    };
  }

  /** Accounts that get less of a service than they ask for. */
  get parts(): readonly { service: string; account: string; partPerSecond: number }[] {
    return [...this.#services].flatMap(([service, { parts }]) =>
      [...parts].map(([account, partPerSecond]) => ({ service, account, partPerSecond })),
    );
  }

  /** Ends the parts of a service that has room again; at the pace of updates, as room fluctuates. */
  #clearParts(service: string, room: ServiceRoom): void {
    const known = this.#services.get(service);
    if (known === undefined || this.#isCurrent(known)) {
      return;
    }
    this.#services.delete(service);
    if (known.parts.size > 0) {
      const { ageMilliseconds } = known;
      this.#options.onChange({ service, room, ageMilliseconds, parts: new Map() });
    }
  }

  #isCurrent({ computedAt }: ServiceParts): boolean {
    return this.#options.clock.now() - computedAt < UPDATE_MILLISECONDS;
  }

  #partsOf(service: string, room: ServiceRoom): ServiceParts {
    const known = this.#services.get(service);
    if (known !== undefined && this.#isCurrent(known)) {
      return known;
    }
    const { accounts, ageMilliseconds } = this.#options.demand();
    const isKnown = ageMilliseconds < STALE_MILLISECONDS;
    const computed = {
      computedAt: this.#options.clock.now(),
      ageMilliseconds,
      parts: isKnown ? this.#divide(accounts, room) : new Map<string, number>(),
      demands: new Map(accounts.map((demand) => [demand.name, demand])),
    };
    this.#services.set(service, computed);
    if (!haveSameKeys(computed.parts, known?.parts ?? new Map())) {
      this.#options.onChange({ service, room, ageMilliseconds, parts: computed.parts });
    }
    return computed;
  }

  /** The share of each account's demand that is for this service is taken as that of all demand. */
  #divide(accounts: readonly AccountDemand[], room: ServiceRoom): FairParts {
    const total = accounts.reduce((sum, { requestsPerSecond }) => sum + requestsPerSecond, 0);
    const share = servableShare(room, MAX_UTILIZATION);
    return share === 1 ? new Map() : divideFairly(accounts, share * total);
  }
}

function haveSameKeys(a: FairParts, b: FairParts): boolean {
  return a.size === b.size && [...a.keys()].every((key) => b.has(key));
}
