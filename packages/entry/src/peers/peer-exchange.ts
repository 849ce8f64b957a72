import type { BackgroundTasks } from '@ferrylock/utils';
import { describeParseError } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import { isAfter, positionOf } from '../fleet/store-position.js';
import { decodeDatagram } from './datagram-codec.js';
import { DatagramCounts } from './datagram-counts.js';
import { DatagramSender } from './datagram-sender.js';
import type { DatagramTransport, CreateTransport } from './datagram-transport.js';
import type { UpdateSource } from '../suspects/suspect-controller.js';
import type { HostStatus } from './host-status.js';
import { loadSource } from './load-source.js';
import { MessageWriter } from './message-writer.js';
import type { MessageWriterOptions } from './message-writer.js';
import type { DomainDigest, FleetDigest, HostReport, CommonFields } from './peer-messages.js';
import { DOMAIN_DIGEST_METHOD, peerMessageSchema, REPORT_METHOD } from './peer-messages.js';
import type { StatusSource } from './peer-table.js';
import { PeerPositions } from './peer-positions.js';
import { RelayPlan, ROUNDS_PER_CROSS_REGION_DIGEST } from './relay-plan.js';
import { StoreConfirmations } from './store-confirmations.js';
import type { ViewExchange } from './view-exchange.js';

/** Interval between message rounds of relays and of hosts with requests in flight. */
const ROUND_MILLISECONDS = 200;
/** Interval between message rounds of idle hosts, which only report that they are alive. */
const IDLE_ROUND_MILLISECONDS = 400;
/** Rounds per fleet digest to members with requests. */
const ROUNDS_PER_DIGEST = 2;
/** Rounds per fleet digest to idle members, which need membership but no loads. */
const ROUNDS_PER_IDLE_DIGEST = 4;
/** Minimum interval between rounds, including triggered ones. */
const MIN_ROUND_INTERVAL_MILLISECONDS = 40;

const NO_HOSTS: ReadonlySet<string> = new Set();

export interface PeerExchangeOptions extends Omit<
  MessageWriterOptions,
  'confirmations' | 'own' | 'onOmittedRows'
> {
  readonly events: EventLog;
  readonly viewExchange: ViewExchange;
  readonly createTransport: CreateTransport;
  /** Milliseconds that a datagram read now may have waited to be read. */
  readonly readDelay: () => number;
}

/** State that exists once this host's addresses are known. */
interface Running {
  readonly own: EntryHostRecord;
  readonly plan: RelayPlan;
  readonly writer: MessageWriter;
}

/**
 * Exchanges state with other entry hosts by datagram. Each host reports to the relays of its
 * failure domain; relays send digests of their domain to other domains' relays, and digests of the
 * fleet to their own domain. Store changes that a digest does not carry are fetched by RPC.
 */
export class PeerExchange {
  readonly counts: DatagramCounts;
  readonly #options: PeerExchangeOptions;
  readonly #transport: DatagramTransport;
  readonly #sender: DatagramSender;
  readonly #tasks: BackgroundTasks;
  readonly #confirmations: StoreConfirmations;
  readonly #positions = new PeerPositions();
  /** Digest of the retained changes last fetched from each host, by host name. */
  readonly #fetchedRetained = new Map<string, string>();
  #running: Running | undefined;
  /** True if this host was a relay in the last round. */
  #isRelay = false;
  #round = 0;
  #lastRoundAt = -Infinity;
  #isRoundScheduled = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.counts = new DatagramCounts(options.clock, options.events);
    this.#confirmations = new StoreConfirmations(options.clock, options.readDelay);
    this.#tasks = createTasks(options);
    const transport = options.createTransport((datagram) => {
      this.handleDatagram(datagram);
    });
    this.#transport = transport;
    const { view } = options;
    const { counts } = this;
    this.#sender = new DatagramSender({ view, transport, positions: this.#positions, counts });
    options.view.onChanges((changes) => {
      this.#confirmations.apply(options.view);
      // New hosts can wait for the next regular round: hundreds may register at once.
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
    const writer = new MessageWriter({
      ...this.#options,
      confirmations: this.#confirmations,
      own,
      onOmittedRows: (omitted) => {
        this.counts.recordOmittedRows(omitted);
      },
    });
    this.#running = { own, plan, writer };
    this.#tasks.start('reports', async (signal) => {
      while (!signal.aborted) {
        this.#runRound(false);
        const isBusy = this.#isRelay || writer.hasRequests;
        const interval = isBusy ? ROUND_MILLISECONDS : IDLE_ROUND_MILLISECONDS;
        await this.#options.clock.sleep(interval, signal);
      }
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#transport.close();
    this.#running = undefined;
  }

  /** True if this host is currently a relay of its failure domain. */
  get isRelay(): boolean {
    return this.#running?.plan.isRelay === true;
  }

  /** Names of the relays of all failure domains. */
  get relayNames(): string[] {
    return this.#running?.plan.relayNames ?? [];
  }

  /** Sends a round now, or as soon as the minimum interval has passed. */
  triggerRound(): void {
    const { clock } = this.#options;
    if (this.#isRoundScheduled) {
      return;
    }
    this.#isRoundScheduled = true;
    const delay = this.#lastRoundAt + MIN_ROUND_INTERVAL_MILLISECONDS - clock.now();
    clock.after(Math.max(0, delay), () => {
      this.#isRoundScheduled = false;
      this.#runRound(true);
    });
  }

  /** Triggers a round for an urgent update; only relays pass on updates from others. */
  propagateUrgent(source: UpdateSource): void {
    if (source === 'own' || this.#isRelay) {
      this.triggerRound();
    }
  }

  /** Handles a message of another host. */
  handleDatagram(datagram: Buffer): void {
    const { events } = this.#options;
    try {
      const parsed = peerMessageSchema.safeParse(JSON.parse(decodeDatagram(datagram)));
      if (!parsed.success) {
        events.logger.warn('ignoring malformed datagram', { detail: parsed.error.message });
      } else if (parsed.data.method === REPORT_METHOD) {
        this.#handleReport(parsed.data.params);
      } else if (parsed.data.method === DOMAIN_DIGEST_METHOD) {
        this.#handleDomainDigest(parsed.data.params);
      } else {
        this.#handleFleetDigest(parsed.data.params);
      }
    } catch (error) {
      events.logger.warn('failed to handle datagram', { detail: describeParseError(error) });
    }
  }

  #handleReport(report: HostReport): void {
    const { loads, accounts, limits } = this.#options;
    const [status] = report.statuses;
    if (status === undefined || !this.#updateStatus(status, 'itself')) {
      return;
    }
    if (report.inFlight !== undefined) {
      loads.update(loadSource.host(status.name), report.inFlight);
    }
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
    if (digest.inFlight !== undefined) {
      loads.update(source, digest.inFlight);
    }
    accounts.mergeReport(source, digest.accounts, digest.remembered);
    limits.mergeReport(source, digest.limits);
    this.#applyDigestChanges(digest);
  }

  #handleFleetDigest(digest: FleetDigest): void {
    const { peers, loads, accounts, limits } = this.#options;
    const { from, absent, reachingNone = NO_HOSTS, regions, counted, inFlight } = digest;
    peers.updateFromFleet(from, { absent, reachingNone, regions });
    const sequence = counted.get(this.#running?.own.name ?? '') ?? 0;
    if (inFlight !== undefined) {
      loads.updateFromFleet(loadSource.fleet, inFlight, sequence);
    }
    accounts.mergeFleetReport(digest.accounts, sequence, digest.remembered);
    limits.mergeFleetReport(digest.limits, sequence);
    this.#applyDigestChanges(digest);
  }

  #applyDigestChanges(digest: DomainDigest | FleetDigest): void {
    const { view, viewExchange } = this.#options;
    const { from, news } = digest;
    if (news !== undefined && isAfter(news, view.position) && view.apply(news)) {
      viewExchange.logChanges(from, news);
    }
    this.#handleCommonFields(from, digest);
  }

  /**
   * Applies a host's status and passes on at once that it ceases to serve, or serves again; returns
   * false if the status is stale.
   */
  #updateStatus(status: HostStatus, from: StatusSource): boolean {
    const { peers } = this.#options;
    const former = peers.get(status.name);
    const isNew = peers.update(status, from);
    const isChanged =
      (status.leaving && former?.leaving !== true) ||
      status.reachesNone !== (former?.reachesNone ?? false);
    if (isNew && isChanged && this.#isRelay) {
      this.triggerRound();
    }
    return isNew;
  }

  /** Applies the peer's newest store confirmation and fetches changes that this host lacks. */
  #handleCommonFields(name: string, fields: CommonFields): void {
    const { view, viewExchange, suspects } = this.#options;
    const { lastChange: revision, epoch, storeAnswer, controlAddress } = fields;
    const lastChange = positionOf({ epoch, revision });
    suspects.merge(fields.suspects ?? []);
    this.#positions.recordReported(name, lastChange);
    if (storeAnswer !== undefined) {
      this.#confirmations.record(storeAnswer);
    }
    this.#confirmations.apply(view);
    if (isAfter(lastChange, view.lastChange)) {
      viewExchange.recordMissing(lastChange);
      viewExchange.fetchIfIdle(controlAddress);
      return;
    }
    this.#fetchRetained(name, fields);
  }

  /** Fetches what a peer retains beyond a restored store, if it differs from this host's. */
  #fetchRetained(name: string, { epoch, kept, controlAddress }: CommonFields): void {
    const { view, viewExchange } = this.#options;
    const isDifferent = kept !== undefined && kept !== view.retainedDigest && epoch === view.epoch;
    if (isDifferent && this.#fetchedRetained.get(name) !== kept) {
      if (viewExchange.fetchIfIdle(controlAddress)) {
        this.#fetchedRetained.set(name, kept);
      }
    }
  }

  /**
   * @param isUrgent - whether to send to all recipients regardless of their intervals, without the
   *   loads, which are the largest part and can wait
   */
  #runRound(isUrgent: boolean): void {
    if (this.#running === undefined) {
      return;
    }
    const { plan, writer } = this.#running;
    this.#lastRoundAt = this.#options.clock.now();
    writer.beginRound();
    const recipients = plan.recipients(isUrgent);
    const { reportRecipients, isRelay } = recipients;
    this.#round += Number(!isUrgent);
    const isDue = (every: number): boolean => isUrgent || this.#round % every === 0;
    this.#sender.send(reportRecipients, () => writer.report());
    this.#sender.send(recipients.sameRegionRelays, (known) =>
      writer.domainDigest(known, !isUrgent),
    );
    if (isDue(ROUNDS_PER_CROSS_REGION_DIGEST)) {
      this.#sender.send(recipients.otherRegionRelays, (known) =>
        writer.domainDigest(known, !isUrgent),
      );
    }
    if (isDue(ROUNDS_PER_DIGEST)) {
      this.#sender.send(recipients.activeMembers, (known) =>
        writer.fleetDigest(known, isUrgent ? 'unchanged' : 'all'),
      );
    }
    if (isDue(ROUNDS_PER_IDLE_DIGEST)) {
      this.#sender.send(recipients.idleMembers, (known) =>
        writer.fleetDigest(known, isUrgent ? 'unchanged' : 'none'),
      );
    }
    this.#isRelay = isRelay;
    if (this.#isRelay) {
      // A relay has the reports of all hosts and domains, so that fleet totals would count twice.
      this.#options.loads.drop(loadSource.fleet);
    }
  }
}
