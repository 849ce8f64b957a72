import type { HostDirectory, ListedHost } from '@ferrylock/platform';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, pickOne, shuffled } from '@ferrylock/utils';
import type { PeerClient } from '../peer/peer-client.js';
import type { HeartbeatFields, PeerParams } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import { DomainTable } from './domain-table.js';
import type { HeartbeatParticipant } from './heartbeat-participant.js';
import type { Member, MemberIdentity } from './member.js';
import { isRunning, memberKey } from './member.js';
import { MemberTable } from './member-table.js';

const DEFAULT_HEARTBEAT_MILLISECONDS = 1_000;
/** Probability that a heartbeat to another domain retries an unreachable contact. */
const UNREACHABLE_RETRY_PROBABILITY = 0.25;
/** Contacts in other domains that this daemon notifies directly when it leaves. */
const LEAVE_NOTIFICATION_CONTACTS = 24;
/** Peers that probe an unresponsive member before it becomes suspect. */
const INDIRECT_PROBES = 2;
/** Suspicion timeout in heartbeat intervals per log2 of the number of members. */
const SUSPICION_FACTOR = 3;
/** Minimum number of heartbeat rounds between reads of the platform's host list. */
const MINIMUM_DIRECTORY_ROUNDS = 2;

export interface MembershipOptions {
  readonly identity: MemberIdentity;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: PeerClient;
  readonly directory: HostDirectory;
  readonly logger: Logger;
  readonly heartbeatMilliseconds?: number;
}

/**
 * SWIM membership within a failure domain (indirect probes, suspicion, refutation). Other domains
 * are known by summaries with a few contacts, so that the cost does not grow with the fleet.
 */
export class Membership {
  readonly members: MemberTable;
  readonly domains: DomainTable;
  readonly #options: MembershipOptions;
  readonly #heartbeatMilliseconds: number;
  readonly #participants: HeartbeatParticipant[] = [];
  readonly #tasks: BackgroundTasks;
  #roundOrder: Member[] = [];
  #lastReceivedAt = -Infinity;
  /** Ids of the hosts that the platform lists as leaving. */
  #leavingHosts: ReadonlySet<string> = new Set();
  #leavingAddresses: ReadonlySet<string> = new Set();
  #leavingVersion = '';
  readonly #leavingListeners: ((addresses: ReadonlySet<string>) => void)[] = [];

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#heartbeatMilliseconds = options.heartbeatMilliseconds ?? DEFAULT_HEARTBEAT_MILLISECONDS;
    this.members = new MemberTable(options.identity, options.clock);
    this.domains = new DomainTable(options.identity.failureDomain, options.clock);
    this.#tasks = new BackgroundTasks(options);
    this.#refreshSummary();
  }

  get self(): Member {
    return this.members.self;
  }

  get leavingHosts(): ReadonlySet<string> {
    return this.#leavingHosts;
  }

  /** Registers a listener for the addresses of hosts that the platform lists as leaving. */
  onLeavingAddresses(listener: (addresses: ReadonlySet<string>) => void): void {
    this.#leavingListeners.push(listener);
  }

  /** Milliseconds since the last heartbeat from a peer; infinite before the first one. */
  get silenceMilliseconds(): number {
    return this.#options.clock.now() - this.#lastReceivedAt;
  }

  addParticipant(participant: HeartbeatParticipant): void {
    this.#participants.push(participant);
  }

  register(router: PeerRouter): void {
    router.handle('membership.heartbeat', (request) => this.#handleHeartbeat(request));
    router.handle('membership.probe', async ({ address, incarnation }) => ({
      reached: await this.#probe(address, incarnation),
    }));
    router.handle('membership.domains', ({ summaries }) => {
      summaries.forEach((summary) => {
        this.domains.merge(summary);
      });
      return { summaries: this.domains.summaries() };
    });
  }

  start(): void {
    this.#tasks.start('membership', (signal) => this.#run(signal));
  }

  /** Stops the heartbeats without notifying peers, like a crash. */
  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Notifies peers that this daemon accepts no new callers. */
  async announceLeaving(): Promise<void> {
    this.members.announce('leaving');
    await this.#notifyPeers();
  }

  /** Notifies peers that this daemon terminates, so that they need not detect it. */
  async announceGone(): Promise<void> {
    this.members.announce('dead');
    await this.#notifyPeers();
    await this.stop();
  }

  /** Running members of the own domain and reachable contacts of the others. */
  knownPeers(): Member[] {
    return [...this.members.others(), ...this.domains.reachableContacts()];
  }

  /** Version of the view, which changes with the set of known members or the state of one. */
  get viewVersion(): string {
    return `${this.members.changes} ${this.domains.changes} ${this.#leavingVersion}`;
  }

  /** This daemon and all known peers. */
  knownMembers(): Member[] {
    return [this.self, ...this.knownPeers()];
  }

  async #run(signal: AbortSignal): Promise<void> {
    for (let round = 0; !signal.aborted; round++) {
      if (round % this.#directoryRounds() === 0) {
        await this.#discoverHosts();
      }
      await Promise.all([this.#heartbeatOwnDomain(), this.#heartbeatOtherDomain()]);
      this.members.expire(this.#suspicionMilliseconds());
      this.#refreshSummary();
      const wait = jittered(this.#options.random, this.#heartbeatMilliseconds);
      await this.#options.clock.sleep(wait, signal);
    }
  }

  /** Joins listed hosts that are not known yet, at the start and after a partition has healed. */
  async #discoverHosts(): Promise<void> {
    const listed = await this.#options.directory.list();
    if (listed.isErr()) {
      this.#options.logger.warn('host list unavailable', { error: listed.error });
      return;
    }
    this.#recordLeaving(listed.value);
    const known = new Set(this.knownMembers().map((member) => member.controlAddress));
    const unknownHosts = listed.value.flatMap(({ controlAddress, failureDomain }) =>
      controlAddress === undefined || known.has(controlAddress)
        ? []
        : [{ controlAddress, failureDomain }],
    );
    const isLocal = (domain: string): boolean => domain === this.self.failureDomain;
    const local = unknownHosts.filter((host) => isLocal(host.failureDomain));
    const remote = unknownHosts.filter((host) => !isLocal(host.failureDomain));
    const selected = [
      ...shuffled(this.#options.random, local).slice(0, 3),
      ...shuffled(this.#options.random, remote).slice(0, 2),
    ];
    await Promise.all(selected.map((host) => this.#heartbeat(host.controlAddress, true)));
  }

  /** Marks listed leaving hosts of this domain; only the host itself can refute it. */
  #recordLeaving(listed: readonly ListedHost[]): void {
    const leaving = listed.filter((host) => host.state === 'leaving');
    this.#leavingHosts = new Set(leaving.map((host) => host.id));
    this.#leavingAddresses = new Set(leaving.map((host) => host.address));
    const version = [...this.#leavingHosts].sort().join(',');
    if (version !== this.#leavingVersion) {
      this.#leavingVersion = version;
      this.#leavingListeners.forEach((listener) => {
        listener(this.#leavingAddresses);
      });
    }
    for (const member of this.members.others()) {
      if (this.#leavingHosts.has(member.id)) {
        this.members.mark(memberKey(member), 'leaving');
      }
    }
  }

  /** Rounds between reads of the host list, which keep a domain's read rate constant. */
  #directoryRounds(): number {
    return Math.max(MINIMUM_DIRECTORY_ROUNDS, this.members.running().length);
  }

  async #heartbeatOwnDomain(): Promise<void> {
    const peer = this.#nextPeer();
    if (peer === undefined) {
      return;
    }
    const answered = await this.#heartbeat(peer.controlAddress, false);
    if (!answered && !(await this.#probeIndirectly(peer))) {
      this.members.mark(memberKey(peer), 'suspect');
    }
  }

  async #heartbeatOtherDomain(): Promise<void> {
    const contact = this.#nextContact();
    if (contact === undefined) {
      return;
    }
    if (!(await this.#heartbeat(contact.controlAddress, false))) {
      this.domains.markUnreachable(memberKey(contact));
    }
  }

  /** Picks a reachable contact, or at times an unreachable one to detect its recovery. */
  #nextContact(): Member | undefined {
    const { random } = this.#options;
    const reachable = this.domains.reachableContacts();
    const unreachable = this.domains.unreachableContacts();
    const retryUnreachable =
      reachable.length === 0 || random.next() < UNREACHABLE_RETRY_PROBABILITY;
    const preferred = retryUnreachable && unreachable.length > 0 ? unreachable : reachable;
    return pickOne(random, preferred);
  }

  /** Picks each peer once per shuffled round, which bounds the time between heartbeats. */
  #nextPeer(): Member | undefined {
    for (;;) {
      if (this.#roundOrder.length === 0) {
        this.#roundOrder = shuffled(this.#options.random, this.members.others());
      }
      const next = this.#roundOrder.pop();
      if (next === undefined) {
        return undefined;
      }
      const current = this.members.get(memberKey(next));
      if (current !== undefined && isRunning(current)) {
        return current;
      }
    }
  }

  async #heartbeat(address: string, joining: boolean): Promise<boolean> {
    const notBefore = this.#options.clock.now();
    const response = await this.#options.peers.call(address, 'membership.heartbeat', {
      ...this.#fields(),
      joining,
    });
    if (response.isErr()) {
      return false;
    }
    this.#receive(response.value, notBefore);
    if (response.value.domainsDigest !== this.domains.digest) {
      await this.#exchangeDomains(address);
    }
    return true;
  }

  async #exchangeDomains(address: string): Promise<void> {
    const response = await this.#options.peers.call(address, 'membership.domains', {
      summaries: this.domains.summaries(),
    });
    if (response.isOk()) {
      response.value.summaries.forEach((summary) => {
        this.domains.merge(summary);
      });
    }
  }

  async #probeIndirectly(peer: Member): Promise<boolean> {
    const helpers = shuffled(this.#options.random, this.knownPeers())
      .filter((member) => memberKey(member) !== memberKey(peer))
      .slice(0, INDIRECT_PROBES);
    const responses = await Promise.all(
      helpers.map((helper) =>
        this.#options.peers.call(
          helper.controlAddress,
          'membership.probe',
          { address: peer.controlAddress, incarnation: peer.incarnation },
          2 * this.#heartbeatMilliseconds,
        ),
      ),
    );
    return responses.some((response) => response.isOk() && response.value.reached);
  }

  async #probe(address: string, incarnation: string): Promise<boolean> {
    const response = await this.#options.peers.call(address, 'membership.heartbeat', {
      ...this.#fields(),
      joining: false,
    });
    return response.isOk() && response.value.from.incarnation === incarnation;
  }

  #handleHeartbeat(request: PeerParams<'membership.heartbeat'>): HeartbeatFields {
    // A request may have been delayed in transit; only a response has a known earliest time.
    this.#receive(request, -Infinity);
    const fields = this.#fields();
    if (!request.joining) {
      return { ...fields, updates: [...fields.updates, ...this.#suspicionsOf(request.from)] };
    }
    return { ...fields, updates: this.members.all() };
  }

  /** The sender's entry if it is not alive here, so that the sender can refute it. */
  #suspicionsOf(sender: Member): Member[] {
    const known = this.members.get(memberKey(sender));
    return known !== undefined && known.state !== 'alive' ? [known] : [];
  }

  #receive(fields: HeartbeatFields, notBefore: number): void {
    this.#lastReceivedAt = this.#options.clock.now();
    const { from } = fields;
    if (from.failureDomain === this.self.failureDomain) {
      this.members.merge(from);
      this.members.markReplaced(from);
      fields.updates.forEach((update) => {
        this.members.merge(update);
      });
      fields.unreachable.forEach(({ key, ageMilliseconds }) => {
        this.domains.markUnreachable(key, ageMilliseconds);
      });
    } else {
      this.domains.markReachable(memberKey(from));
    }
    for (const participant of this.#participants) {
      participant.received({ from, fields, notBefore });
    }
  }

  #fields(): HeartbeatFields {
    const extra = this.#participants.map((participant) => participant.describe());
    return Object.assign(
      {
        from: this.self,
        updates: this.members.takeUpdates(),
        domainsDigest: this.domains.digest,
        unreachable: this.domains.recentlyUnreachable(),
        configurationDigest: '',
        configurationAgeMilliseconds: null,
        reclaimNotices: [],
        positions: [],
        suspects: '',
      },
      ...extra,
    ) as HeartbeatFields;
  }

  /** Sends a heartbeat to the whole own domain and to some contacts in other domains. */
  async #notifyPeers(): Promise<void> {
    this.#refreshSummary();
    const contacts = shuffled(this.#options.random, this.domains.reachableContacts());
    const recipients = [
      ...this.members.others(),
      ...contacts.slice(0, LEAVE_NOTIFICATION_CONTACTS),
    ];
    await Promise.all(recipients.map((member) => this.#heartbeat(member.controlAddress, false)));
  }

  /** Updates the domain's summary if this is its running member with the lowest id, or ending. */
  #refreshSummary(): void {
    const running = this.members.running();
    const writer = running.map((member) => member.id).sort()[0];
    if (writer === this.self.id || !isRunning(this.self)) {
      this.domains.refreshOwn(this.self.region, this.members.running());
    }
  }

  #suspicionMilliseconds(): number {
    const members = this.members.running().length;
    return SUSPICION_FACTOR * Math.log2(members + 1) * this.#heartbeatMilliseconds;
  }
}
