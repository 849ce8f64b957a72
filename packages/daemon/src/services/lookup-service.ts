import type { Member, Membership } from '@ferrylock/control';
import { isServing } from '@ferrylock/control';
import type { LookupResult } from '@ferrylock/schema';
import type { EntryHost, Place } from '@ferrylock/steering';
import { rankEntryHosts } from '@ferrylock/steering';
import { stableHash } from '@ferrylock/utils';
import { LRUCache } from 'lru-cache';
import type { AccountRuntime } from './account-runtime.js';
import type { ServiceDirectory } from './service-directory.js';

/** Answers kept ready: one for each block, service and state of the membership. */
const CACHED_ANSWERS = 50_000;
/** Groups of callers that an account has at least; each group has an order of hosts of its own. */
const CALLER_GROUPS = 512;
/** Nearest hosts among which a block's own order is made, for each host in an answer. */
const CANDIDATES_PER_HOST = 8;

export interface LookupServiceOptions {
  readonly directory: ServiceDirectory;
  readonly membership: Membership;
  readonly lifetimeSeconds: number;
  readonly hostsInAnswer: number;
}

/** Tells callers which entry hosts to use. */
export class LookupService {
  readonly #options: LookupServiceOptions;
  readonly #answers = new LRUCache<string, string>({ max: CACHED_ANSWERS });
  #cachedFor = '';

  constructor(options: LookupServiceOptions) {
    this.#options = options;
    options.directory.onChange(() => {
      this.#answers.clear();
    });
  }

  /** The answer as JSON text; undefined where the service is not known. */
  answer(account: string, service: string, address: string): string | undefined {
    const runtime = this.#options.directory.account(account);
    if (runtime?.services.has(service) !== true) {
      return undefined;
    }
    this.#dropOutdated();
    const { block, place } = runtime.findBlock(address);
    // An account with few blocks would otherwise have all its callers at as few hosts.
    const groups = Math.ceil(CALLER_GROUPS / Math.max(1, runtime.blockCount));
    const group = groups === 1 ? 0 : stableHash(address) % groups;
    const key = `${account} ${service} ${block} ${group}`;
    const known = this.#answers.get(key);
    if (known !== undefined) {
      return known;
    }
    const text = JSON.stringify(this.#rank(runtime, service, `${block} ${group}`, place));
    this.#answers.set(key, text);
    return text;
  }

  /** The answer as an operator sees it. */
  lookup(account: string, service: string, address: string): LookupResult | undefined {
    const text = this.answer(account, service, address);
    return text === undefined ? undefined : (JSON.parse(text) as LookupResult);
  }

  #rank(
    runtime: AccountRuntime,
    service: string,
    callerGroup: string,
    callerPlace: Place | undefined,
  ): LookupResult {
    const { hostsInAnswer, lifetimeSeconds } = this.#options;
    const hosts = rankEntryHosts({
      hosts: this.#candidates(runtime, callerPlace),
      callerPlace,
      stickyKey: `${runtime.account} ${callerGroup}`,
      distances: runtime.distances,
      maximum: hostsInAnswer,
    });
    return {
      service,
      place: callerPlace?.failureDomain ?? null,
      entryHosts: hosts.map((host) => ({
        id: host.id,
        address: host.trafficAddress,
        failureDomain: host.failureDomain,
      })),
      lifetimeSeconds,
    };
  }

  /** Hosts that may be named, the farther ones left out where there are many. */
  #candidates(runtime: AccountRuntime, callerPlace: Place | undefined): EntryHost[] {
    const { membership, hostsInAnswer } = this.#options;
    const leaving = membership.leavingHosts;
    const serving = membership
      .knownMembers()
      .filter((member) => isServing(member) && !leaving.has(member.id))
      .map(toEntryHost);
    const most = hostsInAnswer * CANDIDATES_PER_HOST;
    if (serving.length <= most || callerPlace === undefined) {
      return serving;
    }
    const distance = (host: EntryHost): number => runtime.distances.milliseconds(callerPlace, host);
    return serving.sort((a, b) => distance(a) - distance(b)).slice(0, most);
  }

  #dropOutdated(): void {
    const { membership } = this.#options;
    const current = membership.viewVersion;
    if (current !== this.#cachedFor) {
      this.#cachedFor = current;
      this.#answers.clear();
    }
  }
}

function toEntryHost(member: Member): EntryHost {
  const { id, trafficAddress, failureDomain, region } = member;
  return { id, trafficAddress, failureDomain, region };
}
