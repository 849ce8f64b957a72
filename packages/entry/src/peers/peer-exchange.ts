import { BackgroundTasks } from '@ferrylock/utils';
import { z } from 'zod';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { HostStatus } from './host-status.js';
import { loadSource, MessageWriter } from './message-writer.js';
import type { MessageWriterOptions } from './message-writer.js';
import type { Digest, HostReport } from './peer-messages.js';
import { DIGEST_METHOD, digestSchema, hostReportSchema, REPORT_METHOD } from './peer-messages.js';
import type { HeardFrom } from './peer-table.js';
import { RelayPlan } from './relay-plan.js';
import { ReportSocket } from './report-socket.js';
import type { StoreAnswer } from './store-answers.js';
import { StoreAnswers } from './store-answers.js';
import type { ViewExchange } from './view-exchange.js';

/** Time between two rounds of messages. */
const ROUND_MILLISECONDS = 200;
/**
 * Rounds between two digests of a relay to its members, and between two of these that tell of all
 * hosts. A member reads two relays' digests, some 1 ms each for 89 hosts.
 */
const ROUNDS_PER_DIGEST = 2;
const ROUNDS_PER_WHOLE_DIGEST = 4;
/** Shortest time between two rounds, however much changes. */
const SHORTEST_ROUND_MILLISECONDS = 40;

const messageSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal(REPORT_METHOD), params: hostReportSchema }),
  z.object({ method: z.literal(DIGEST_METHOD), params: digestSchema }),
]);

export interface PeerExchangeOptions extends Omit<MessageWriterOptions, 'answers' | 'own'> {
  readonly events: EventLog;
  readonly changes: ViewExchange;
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
  readonly #socket: ReportSocket;
  readonly #tasks: BackgroundTasks;
  readonly #answers: StoreAnswers;
  /** Newest change that each host is known to know, by its name. */
  readonly #lastChanges = new Map<string, number>();
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
    this.#socket = new ReportSocket(options.events, (text) => {
      this.takeDatagram(text);
    });
    options.view.onChanges(() => {
      if (this.#isRelay) {
        this.report();
      }
    });
  }

  listen(address: string): Promise<string> {
    return this.#socket.listen(address);
  }

  start(own: EntryHostRecord): void {
    const plan = new RelayPlan({ ...this.#options, own });
    const writer = new MessageWriter({ ...this.#options, answers: this.#answers, own });
    this.#running = { own, plan, writer };
    this.#tasks.start('reports', async (signal) => {
      while (!signal.aborted) {
        this.#tell(false);
        await this.#options.clock.sleep(ROUND_MILLISECONDS, signal);
      }
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#socket.close();
    this.#running = undefined;
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

  /** Takes a message of another host, as it came. */
  takeDatagram(text: string): void {
    const { events } = this.#options;
    try {
      const parsed = messageSchema.safeParse(JSON.parse(text));
      if (!parsed.success) {
        events.logger.warn('unexpected datagram', { detail: parsed.error.message });
      } else if (parsed.data.method === REPORT_METHOD) {
        this.#takeReport(parsed.data.params);
      } else {
        this.#takeDigest(parsed.data.params);
      }
    } catch (error) {
      events.logger.warn('unexpected datagram', { detail: String(error) });
    }
  }

  #takeReport({ statuses, inFlight, lastChange, storeAnswer }: HostReport): void {
    const { loads } = this.#options;
    const [status] = statuses;
    if (status === undefined || !this.#takeStatus(status, 'itself')) {
      return;
    }
    loads.take(loadSource.host(status.name), inFlight);
    this.#takeKnowledge(status.name, lastChange, storeAnswer);
  }

  #takeDigest(digest: Digest): void {
    const { from, failureDomain, scope, statuses, news, lastChange, storeAnswer } = digest;
    const { view, loads } = this.#options;
    const own = this.#running?.own;
    for (const status of statuses) {
      if (status.name !== own?.name) {
        this.#takeStatus(status, status.name === from ? 'itself' : 'another');
      }
    }
    if (scope === 'domain') {
      loads.take(loadSource.domain(failureDomain), digest.inFlight);
    } else {
      const counted = statuses.find(({ name }) => name === own?.name)?.sequence ?? 0;
      loads.takeFleet(loadSource.fleet, digest.inFlight, counted);
    }
    if (news !== undefined && news.revision > view.revision && view.apply(news)) {
      this.#options.changes.logView(from, news);
    }
    this.#takeKnowledge(from, lastChange, storeAnswer);
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
  #takeKnowledge(name: string, lastChange: number, answer: StoreAnswer | undefined): void {
    const { view } = this.#options;
    this.#lastChanges.set(name, lastChange);
    const answeredAt = answer === undefined ? undefined : this.#answers.take(answer);
    if (lastChange > view.lastChange) {
      this.#options.changes.fetchFromHost(name);
    } else if (answer !== undefined && answeredAt !== undefined) {
      view.confirm(answer.lastChange, answeredAt);
    }
  }

  /** @param isUrgent - whether members and all foreign relays are told although it is not their round */
  #tell(isUrgent: boolean): void {
    if (this.#running === undefined) {
      return;
    }
    const { plan, writer } = this.#running;
    this.#toldAt = this.#options.clock.now();
    writer.next();
    const { reports, members, foreignRelays, isRelay } = plan.recipients(isUrgent);
    this.#round++;
    this.#send(reports, () => writer.report());
    this.#send(foreignRelays, () => writer.domainDigest(this.#knownToAll(foreignRelays)));
    if (isUrgent || this.#round % ROUNDS_PER_DIGEST === 0) {
      const tellsAll = isUrgent || this.#round % ROUNDS_PER_WHOLE_DIGEST === 0;
      this.#send(members, () => writer.fleetDigest(this.#knownToAll(members), tellsAll));
    }
    this.#isRelay = isRelay;
    if (this.#isRelay) {
      // A relay hears of each host or domain; the whole is for those that do not.
      this.#options.loads.drop(loadSource.fleet);
    }
  }

  #send(hosts: readonly EntryHostRecord[], write: () => string): void {
    if (hosts.length > 0) {
      const text = write();
      for (const { reportAddress } of hosts) {
        this.#socket.send(reportAddress, text);
      }
    }
  }

  /** Newest change that all of these hosts know, as far as they have told. */
  #knownToAll(hosts: readonly EntryHostRecord[]): number {
    return Math.min(...hosts.map(({ name }) => this.#lastChanges.get(name) ?? Infinity));
  }
}
