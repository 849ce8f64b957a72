import { BackgroundTasks, parseFailure } from '@ferrylock/utils';
import { z } from 'zod';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { StorePosition } from '../fleet/store-position.js';
import { isAfter, positionOf } from '../fleet/store-position.js';
import type { Datagrams, OpenDatagrams } from './datagrams.js';
import type { NewsSource } from '../suspects/suspect-duty.js';
import type { HostStatus } from './host-status.js';
import { loadSource } from './load-source.js';
import { MessageWriter } from './message-writer.js';
import type { MessageWriterOptions } from './message-writer.js';
import type { Digest, FleetDigest, HostReport, Knowledge } from './peer-messages.js';
import {
  DIGEST_METHOD,
  digestSchema,
  FLEET_METHOD,
  fleetDigestSchema,
  hostReportSchema,
  REPORT_METHOD,
} from './peer-messages.js';
import type { HeardFrom } from './peer-table.js';
import { RelayPlan } from './relay-plan.js';
import { StoreAnswers } from './store-answers.js';
import type { ViewExchange } from './view-exchange.js';

/** Time between two rounds of messages of a relay, and of a host that has requests at targets. */
const ROUND_MILLISECONDS = 200;
/** The same of a host that has none: it tells that it lives. */
const QUIET_ROUND_MILLISECONDS = 400;
/** Rounds between two digests of a relay to members that have requests. */
const ROUNDS_PER_DIGEST = 2;
/** The same to members that have none: these need to know who lives, and no loads. */
const ROUNDS_PER_QUIET_DIGEST = 4;
/**
 * The same to relays of other regions: their hosts send few requests here, and each byte on the way
 * between regions is dear.
 */
const ROUNDS_PER_FAR_DIGEST = 2;
/** Shortest time between two rounds, however much changes. */
const SHORTEST_ROUND_MILLISECONDS = 40;

/** What a host knows that has told nothing: nobody is told news for its sake. */
const UNTOLD: StorePosition = { epoch: Infinity, revision: Infinity };

const messageSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal(REPORT_METHOD), params: hostReportSchema }),
  z.object({ method: z.literal(DIGEST_METHOD), params: digestSchema }),
  z.object({ method: z.literal(FLEET_METHOD), params: fleetDigestSchema }),
]);

export interface PeerExchangeOptions extends Omit<MessageWriterOptions, 'answers' | 'own'> {
  readonly events: EventLog;
  readonly changes: ViewExchange;
  readonly openDatagrams: OpenDatagrams;
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
  readonly #datagrams: Datagrams;
  readonly #tasks: BackgroundTasks;
  readonly #answers: StoreAnswers;
  /** Newest change that each host is known to know, by its name. */
  readonly #lastChanges = new Map<string, StorePosition>();
  /** What was asked for last of what each host keeps beyond the store, by its name. */
  readonly #fetchedKept = new Map<string, string>();
  #running: Running | undefined;
  /** Whether others rely on this host to pass on what it hears, as of the last round. */
  #isRelay = false;
  #round = 0;
  #toldAt = -Infinity;
  #isRoundDue = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#answers = new StoreAnswers(options.clock);
    this.#tasks = new BackgroundTasks(options.events.logger);
    this.#datagrams = options.openDatagrams((text) => {
      this.takeDatagram(text);
    });
    options.view.onChanges((changes) => {
      // A host that comes is told with the next round: hundreds come at once, and none is waited for.
      if (this.#isRelay && changes.some(({ record }) => record?.kind !== 'entryHost')) {
        this.report();
      }
    });
    options.view.onReturn(() => {
      this.report();
    });
  }

  listen(address: string): Promise<string> {
    return this.#datagrams.listen(address);
  }

  start(own: EntryHostRecord): void {
    const plan = new RelayPlan({ ...this.#options, own });
    const writer = new MessageWriter({ ...this.#options, answers: this.#answers, own });
    this.#running = { own, plan, writer };
    this.#tasks.start('reports', async (signal) => {
      while (!signal.aborted) {
        this.#tell(false);
        const isBusy = this.#isRelay || writer.hasRequests;
        const pause = isBusy ? ROUND_MILLISECONDS : QUIET_ROUND_MILLISECONDS;
        await this.#options.clock.sleep(pause, signal);
      }
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#datagrams.close();
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
  report(): void {
    const { clock } = this.#options;
    if (this.#isRoundDue) {
      return;
    }
    this.#isRoundDue = true;
    const wait = this.#toldAt + SHORTEST_ROUND_MILLISECONDS - clock.now();
    clock.after(Math.max(0, wait), () => {
      this.#isRoundDue = false;
      this.#tell(true);
    });
  }

  /** Tells what others should not wait for; what was heard is passed on by relays alone. */
  tellNews(source: NewsSource): void {
    if (source === 'own' || this.#isRelay) {
      this.report();
    }
  }

  /** Takes a message of another host, as it came. */
  takeDatagram(text: string): void {
    const { events } = this.#options;
    try {
      const parsed = messageSchema.safeParse(JSON.parse(text));
      if (!parsed.success) {
        events.logger.warn('unexpected datagram', { detail: parsed.error.message });
      } else if (parsed.data.method === REPORT_METHOD) {
        this.#takeReport(parsed.data.params);
      } else if (parsed.data.method === DIGEST_METHOD) {
        this.#takeDigest(parsed.data.params);
      } else {
        this.#takeFleetDigest(parsed.data.params);
      }
    } catch (error) {
      events.logger.warn('unexpected datagram', { detail: parseFailure(error) });
    }
  }

  #takeReport(report: HostReport): void {
    const { loads, accounts, limits } = this.#options;
    const [status] = report.statuses;
    if (status === undefined || !this.#takeStatus(status, 'itself')) {
      return;
    }
    loads.take(loadSource.host(status.name), report.inFlight);
    accounts.takeHost(status, report.accounts, report.remembered);
    limits.takeHost(status, report.limits);
    this.#takeKnowledge(status.name, report);
  }

  #takeDigest(digest: Digest): void {
    const { from, failureDomain, statuses } = digest;
    const own = this.#running?.own;
    for (const status of statuses) {
      if (status.name !== own?.name) {
        this.#takeStatus(status, status.name === from ? 'itself' : 'another');
      }
    }
    const { loads, accounts, limits } = this.#options;
    const source = loadSource.domain(failureDomain);
    loads.take(source, digest.inFlight);
    accounts.takeTold(source, digest.accounts, digest.remembered);
    limits.takeTold(source, digest.limits);
    this.#takeNews(digest);
  }

  #takeFleetDigest(digest: FleetDigest): void {
    const { peers, loads, accounts, limits } = this.#options;
    const { from, absent, regions, counted, inFlight } = digest;
    peers.takeTold(from, { absent, regions });
    const sequence = counted.get(this.#running?.own.name ?? '') ?? 0;
    loads.takeFleet(loadSource.fleet, inFlight, sequence);
    accounts.takeFleet(digest.accounts, sequence, digest.remembered);
    limits.takeFleet(digest.limits, sequence);
    this.#takeNews(digest);
  }

  #takeNews(digest: Digest | FleetDigest): void {
    const { view, changes } = this.#options;
    const { from, news } = digest;
    if (news !== undefined && isAfter(news, view.position) && view.apply(news)) {
      changes.logView(from, news);
    }
    this.#takeKnowledge(from, digest);
  }

  /** Takes a host's status; passes on at once that it leaves. Tells whether it was news. */
  #takeStatus(status: HostStatus, from: HeardFrom): boolean {
    const { peers } = this.#options;
    const wasLeaving = peers.get(status.name)?.leaving === true;
    const isNews = peers.take(status, from);
    if (isNews && status.leaving && !wasLeaving && this.#isRelay) {
      this.report();
    }
    return isNews;
  }

  /** Fetches what a peer knows beyond this host; takes what it tells of the store's answers. */
  #takeKnowledge(name: string, knowledge: Knowledge): void {
    const { view, changes, suspects } = this.#options;
    const { lastChange: revision, epoch, storeAnswer, controlAddress } = knowledge;
    const lastChange = positionOf({ epoch, revision });
    suspects.take(knowledge.suspects ?? []);
    this.#lastChanges.set(name, lastChange);
    const answeredAt = storeAnswer === undefined ? undefined : this.#answers.take(storeAnswer);
    if (isAfter(lastChange, view.lastChange)) {
      changes.fetchUnlessUnderWay(controlAddress);
      return;
    }
    this.#takeKept(name, knowledge);
    if (storeAnswer !== undefined && answeredAt !== undefined) {
      const answered = { epoch: storeAnswer.epoch, revision: storeAnswer.lastChange };
      view.confirm(answered, answeredAt);
    }
  }

  /** Fetches what a peer keeps beyond a store that came back from a copy, where that is not the same here. */
  #takeKept(name: string, { epoch, kept, controlAddress }: Knowledge): void {
    const { view, changes } = this.#options;
    const isOther = kept !== undefined && kept !== view.keptMark && epoch === view.epoch;
    if (isOther && this.#fetchedKept.get(name) !== kept) {
      if (changes.fetchUnlessUnderWay(controlAddress)) {
        this.#fetchedKept.set(name, kept);
      }
    }
  }

  /** @param isUrgent - whether all are told, although it is not their round */
  #tell(isUrgent: boolean): void {
    if (this.#running === undefined) {
      return;
    }
    const { plan, writer } = this.#running;
    this.#toldAt = this.#options.clock.now();
    writer.next();
    const recipients = plan.recipients(isUrgent);
    const { reports, isRelay } = recipients;
    this.#round++;
    const isRound = (every: number): boolean => isUrgent || this.#round % every === 0;
    this.#send(reports, () => writer.report());
    this.#send(recipients.nearRelays, (known) => writer.domainDigest(known));
    if (isRound(ROUNDS_PER_FAR_DIGEST)) {
      this.#send(recipients.farRelays, (known) => writer.domainDigest(known));
    }
    if (isRound(ROUNDS_PER_DIGEST)) {
      this.#send(recipients.askingMembers, (known) => writer.fleetDigest(known, true));
    }
    if (isRound(ROUNDS_PER_QUIET_DIGEST)) {
      this.#send(recipients.quietMembers, (known) => writer.fleetDigest(known, false));
    }
    this.#isRelay = isRelay;
    if (this.#isRelay) {
      // A relay hears of each host or domain; the whole is for those that do not.
      this.#options.loads.drop(loadSource.fleet);
    }
  }

  #send(hosts: readonly EntryHostRecord[], write: (knownToAll: StorePosition) => string): void {
    if (hosts.length > 0) {
      const text = write(this.#knownToAll(hosts));
      for (const { reportAddress } of hosts) {
        this.#datagrams.send(reportAddress, text);
      }
    }
  }

  /** Newest change that all of these hosts know, as far as they have told. */
  #knownToAll(hosts: readonly EntryHostRecord[]): StorePosition {
    return hosts
      .map(({ name }) => this.#lastChanges.get(name) ?? UNTOLD)
      .reduce((least, known) => (isAfter(least, known) ? known : least), UNTOLD);
  }
}
