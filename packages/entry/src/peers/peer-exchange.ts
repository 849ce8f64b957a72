import { BackgroundTasks, describeParseError } from '@ferrylock/utils';
import { z } from 'zod';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { StorePosition } from '../fleet/store-position.js';
import { isAfter, positionOf } from '../fleet/store-position.js';
import type { DatagramTransport, CreateTransport } from './datagram-transport.js';
import type { UpdateSource } from '../suspects/suspect-controller.js';
import type { HostStatus } from './host-status.js';
import { loadSource } from './load-source.js';
import { MessageWriter } from './message-writer.js';
import type { MessageWriterOptions } from './message-writer.js';
import type { DomainDigest, FleetDigest, HostReport, CommonFields } from './peer-messages.js';
import {
  DOMAIN_DIGEST_METHOD,
  domainDigestSchema,
  FLEET_DIGEST_METHOD,
  fleetDigestSchema,
  hostReportSchema,
  REPORT_METHOD,
} from './peer-messages.js';
import type { StatusSource } from './peer-table.js';
import { RelayPlan } from './relay-plan.js';
import { StoreConfirmations } from './store-confirmations.js';
import type { ViewExchange } from './view-exchange.js';

/** Time between two rounds of messages of a relay, and of a host that has requests at targets. */
const ROUND_MILLISECONDS = 200;
/** The same of a host that has none: it tells that it lives. */
const IDLE_ROUND_MILLISECONDS = 400;
/** Rounds between two digests of a relay to members that have requests. */
const ROUNDS_PER_DIGEST = 2;
/** The same to members that have none: these need to know who lives, and no loads. */
const ROUNDS_PER_IDLE_DIGEST = 4;
/**
 * The same to relays of other regions: their hosts send few requests here, and each byte on the way
 * between regions is dear.
 */
const ROUNDS_PER_CROSS_REGION_DIGEST = 2;
/** Shortest time between two rounds, however much changes. */
const MIN_ROUND_INTERVAL_MILLISECONDS = 40;

/** What a host knows that has told nothing: nobody is told news for its sake. */
const UNKNOWN_POSITION: StorePosition = { epoch: Infinity, revision: Infinity };

const messageSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal(REPORT_METHOD), params: hostReportSchema }),
  z.object({ method: z.literal(DOMAIN_DIGEST_METHOD), params: domainDigestSchema }),
  z.object({ method: z.literal(FLEET_DIGEST_METHOD), params: fleetDigestSchema }),
]);

export interface PeerExchangeOptions extends Omit<MessageWriterOptions, 'answers' | 'own'> {
  readonly events: EventLog;
  readonly viewExchange: ViewExchange;
  readonly createTransport: CreateTransport;
}

/** What is needed once the own addresses are known. */
interface Running {
  readonly own: EntryHostRecord;
  readonly plan: RelayPlan;
  readonly writer: MessageWriter;
}

/**
 * Tells other entry hosts what this one knows and does, and takes what they tell. Each host reports
 * to the relays of its failure domain by datagram; these tell the other domains' relays of their
 * own domain, and their own domain of the whole fleet. What a digest does not carry of the store's
 * changes is fetched by a call.
 */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #transport: DatagramTransport;
  readonly #tasks: BackgroundTasks;
  readonly #confirmations: StoreConfirmations;
  /** Newest change that each host is known to know, by its name. */
  readonly #peerPositions = new Map<string, StorePosition>();
  /** What was asked for last of what each host keeps beyond the store, by its name. */
  readonly #fetchedKept = new Map<string, string>();
  #running: Running | undefined;
  /** Whether others rely on this host to pass on what it hears, as of the last round. */
  #isRelay = false;
  #round = 0;
  #lastRoundAt = -Infinity;
  #isRoundScheduled = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#confirmations = new StoreConfirmations(options.clock);
    this.#tasks = new BackgroundTasks(options.events.logger);
    this.#transport = options.createTransport((text) => {
      this.handleDatagram(text);
    });
    options.view.onChanges((changes) => {
      // A host that comes is told with the next round: hundreds come at once, and none is waited for.
      if (this.#isRelay && changes.some(({ record }) => record?.kind !== 'entryHost')) {
        this.triggerRound();
      }
    });
    options.view.onRestore(() => {
      this.triggerRound();
    });
  }

  listen(address: string): Promise<string> {
    return this.#transport.listen(address);
  }

  start(own: EntryHostRecord): void {
    const plan = new RelayPlan({ ...this.#options, own });
    const writer = new MessageWriter({ ...this.#options, answers: this.#confirmations, own });
    this.#running = { own, plan, writer };
    this.#tasks.start('reports', async (signal) => {
      while (!signal.aborted) {
        this.#runRound(false);
        const isBusy = this.#isRelay || writer.hasRequests;
        const pause = isBusy ? ROUND_MILLISECONDS : IDLE_ROUND_MILLISECONDS;
        await this.#options.clock.sleep(pause, signal);
      }
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#transport.close();
    this.#running = undefined;
  }

  /** Whether this host is one of those that pass on what others tell, as it would plan it now. */
  get isRelay(): boolean {
    return this.#running?.plan.isRelay === true;
  }

  /** Names of the hosts that pass on what others tell. */
  get relayNames(): string[] {
    return this.#running?.plan.relayNames ?? [];
  }

  /** Tells others now, or as soon after the last round as is allowed. */
  triggerRound(): void {
    const { clock } = this.#options;
    if (this.#isRoundScheduled) {
      return;
    }
    this.#isRoundScheduled = true;
    const wait = this.#lastRoundAt + MIN_ROUND_INTERVAL_MILLISECONDS - clock.now();
    clock.after(Math.max(0, wait), () => {
      this.#isRoundScheduled = false;
      this.#runRound(true);
    });
  }

  /** Tells what others should not wait for; what was heard is passed on by relays alone. */
  propagateUrgent(source: UpdateSource): void {
    if (source === 'own' || this.#isRelay) {
      this.triggerRound();
    }
  }

  /** Takes a message of another host, as it came. */
  handleDatagram(text: string): void {
    const { events } = this.#options;
    try {
      const parsed = messageSchema.safeParse(JSON.parse(text));
      if (!parsed.success) {
        events.logger.warn('unexpected datagram', { detail: parsed.error.message });
      } else if (parsed.data.method === REPORT_METHOD) {
        this.#handleReport(parsed.data.params);
      } else if (parsed.data.method === DOMAIN_DIGEST_METHOD) {
        this.#handleDomainDigest(parsed.data.params);
      } else {
        this.#handleFleetDigest(parsed.data.params);
      }
    } catch (error) {
      events.logger.warn('unexpected datagram', { detail: describeParseError(error) });
    }
  }

  #handleReport(report: HostReport): void {
    const { loads, accounts, limits } = this.#options;
    const [status] = report.statuses;
    if (status === undefined || !this.#updateStatus(status, 'itself')) {
      return;
    }
    loads.update(loadSource.host(status.name), report.inFlight);
    accounts.mergeHostReport(status, report.accounts, report.remembered);
    limits.mergeHostReport(status, report.limits);
    this.#handleCommonFields(status.name, report);
  }

  #handleDomainDigest(digest: DomainDigest): void {
    const { from, failureDomain, statuses } = digest;
    const own = this.#running?.own;
    for (const status of statuses) {
      if (status.name !== own?.name) {
        this.#updateStatus(status, status.name === from ? 'itself' : 'another');
      }
    }
    const { loads, accounts, limits } = this.#options;
    const source = loadSource.domain(failureDomain);
    loads.update(source, digest.inFlight);
    accounts.mergeReport(source, digest.accounts, digest.remembered);
    limits.mergeReport(source, digest.limits);
    this.#applyDigestChanges(digest);
  }

  #handleFleetDigest(digest: FleetDigest): void {
    const { peers, loads, accounts, limits } = this.#options;
    const { from, absent, regions, counted, inFlight } = digest;
    peers.updateFromFleet(from, { absent, regions });
    const sequence = counted.get(this.#running?.own.name ?? '') ?? 0;
    loads.updateFromFleet(loadSource.fleet, inFlight, sequence);
    accounts.mergeFleetReport(digest.accounts, sequence, digest.remembered);
    limits.mergeFleetReport(digest.limits, sequence);
    this.#applyDigestChanges(digest);
  }

  #applyDigestChanges(digest: DomainDigest | FleetDigest): void {
    const { view, viewExchange: changes } = this.#options;
    const { from, news } = digest;
    if (news !== undefined && isAfter(news, view.position) && view.apply(news)) {
      changes.logChanges(from, news);
    }
    this.#handleCommonFields(from, digest);
  }

  /** Takes a host's status; passes on at once that it leaves. Tells whether it was news. */
  #updateStatus(status: HostStatus, from: StatusSource): boolean {
    const { peers } = this.#options;
    const wasLeaving = peers.get(status.name)?.leaving === true;
    const isNews = peers.update(status, from);
    if (isNews && status.leaving && !wasLeaving && this.#isRelay) {
      this.triggerRound();
    }
    return isNews;
  }

  /** Fetches what a peer knows beyond this host; takes what it tells of the store's answers. */
  #handleCommonFields(name: string, knowledge: CommonFields): void {
    const { view, viewExchange: changes, suspects } = this.#options;
    const { lastChange: revision, epoch, storeAnswer, controlAddress } = knowledge;
    const lastChange = positionOf({ epoch, revision });
    suspects.merge(knowledge.suspects ?? []);
    this.#peerPositions.set(name, lastChange);
    const answeredAt =
      storeAnswer === undefined ? undefined : this.#confirmations.record(storeAnswer);
    if (isAfter(lastChange, view.lastChange)) {
      changes.fetchIfIdle(controlAddress);
      return;
    }
    this.#fetchKept(name, knowledge);
    if (storeAnswer !== undefined && answeredAt !== undefined) {
      const answered = { epoch: storeAnswer.epoch, revision: storeAnswer.lastChange };
      view.confirm(answered, answeredAt);
    }
  }

  /** Fetches what a peer keeps beyond a store that came back from a copy, where that is not the same here. */
  #fetchKept(name: string, { epoch, kept, controlAddress }: CommonFields): void {
    const { view, viewExchange: changes } = this.#options;
    const isOther = kept !== undefined && kept !== view.retainedDigest && epoch === view.epoch;
    if (isOther && this.#fetchedKept.get(name) !== kept) {
      if (changes.fetchIfIdle(controlAddress)) {
        this.#fetchedKept.set(name, kept);
      }
    }
  }

  /** @param isUrgent - whether all are told, although it is not their round */
  #runRound(isUrgent: boolean): void {
    if (this.#running === undefined) {
      return;
    }
    const { plan, writer } = this.#running;
    this.#lastRoundAt = this.#options.clock.now();
    writer.beginRound();
    const recipients = plan.recipients(isUrgent);
    const { reportRecipients: reports, isRelay } = recipients;
    this.#round++;
    const isRound = (every: number): boolean => isUrgent || this.#round % every === 0;
    this.#send(reports, () => writer.report());
    this.#send(recipients.sameRegionRelays, (known) => writer.domainDigest(known));
    if (isRound(ROUNDS_PER_CROSS_REGION_DIGEST)) {
      this.#send(recipients.otherRegionRelays, (known) => writer.domainDigest(known));
    }
    if (isRound(ROUNDS_PER_DIGEST)) {
      this.#send(recipients.activeMembers, (known) => writer.fleetDigest(known, true));
    }
    if (isRound(ROUNDS_PER_IDLE_DIGEST)) {
      this.#send(recipients.idleMembers, (known) => writer.fleetDigest(known, false));
    }
    this.#isRelay = isRelay;
    if (this.#isRelay) {
      // A relay hears of each host or domain; the whole is for those that do not.
      this.#options.loads.drop(loadSource.fleet);
    }
  }

  #send(hosts: readonly EntryHostRecord[], write: (lowestPosition: StorePosition) => string): void {
    if (hosts.length > 0) {
      const text = write(this.#knownToAll(hosts));
      for (const { reportAddress } of hosts) {
        this.#transport.send(reportAddress, text);
      }
    }
  }

  /** Newest change that all of these hosts know, as far as they have told. */
  #knownToAll(hosts: readonly EntryHostRecord[]): StorePosition {
    return hosts
      .map(({ name }) => this.#peerPositions.get(name) ?? UNKNOWN_POSITION)
      .reduce((least, known) => (isAfter(least, known) ? known : least), UNKNOWN_POSITION);
  }
}
