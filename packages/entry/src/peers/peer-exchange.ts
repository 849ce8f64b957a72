import { BackgroundTasks } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import { createJSONRPCNotification } from 'json-rpc-2.0';
import { z } from 'zod';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PeerClient } from './peer-client.js';
import type { DeltaParams, DeltaResult } from './peer-messages.js';
import { hostReportSchema, REPORT_METHOD } from './peer-messages.js';
import type { Peer, PeerTable } from './peer-table.js';
import { ReportSocket } from './report-socket.js';

/** Time between two reports to each peer. */
const REPORT_MILLISECONDS = 200;

const notificationSchema = z.object({
  method: z.literal(REPORT_METHOD),
  params: hostReportSchema,
});

export interface PeerExchangeOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly client: PeerClient;
  /**
   * When the store last answered this host itself. Only that is told: a confirmation that were
   * passed on would grow younger on its way by each message's time, and go round for ever.
   */
  readonly storeAnsweredAt: () => number;
  /** This host's requests at targets now, by the target's id. */
  readonly inFlight: () => Record<string, number>;
  readonly isLeaving: () => boolean;
}

/**
 * Tells other entry hosts what this one knows and does, and takes what they tell: a small report
 * by datagram several times a second, and on a newer revision what leads to it by a call.
 */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: ReportSocket;
  readonly #tasks: BackgroundTasks;
  #own: EntryHostRecord | undefined;
  #sequence = 0;
  #isFetching = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.events.logger);
    this.#socket = new ReportSocket(options.events, (text) => {
      this.#takeDatagram(text);
    });
    options.peers.onReport((peer) => {
      this.#compare(peer);
    });
    options.view.onChanges(() => {
      this.report();
    });
  }

  listen(address: string): Promise<string> {
    return this.#socket.listen(address);
  }

  start(own: EntryHostRecord): void {
    this.#own = own;
    this.#tasks.start('reports', async (signal) => {
      while (!signal.aborted) {
        this.report();
        await this.#options.clock.sleep(REPORT_MILLISECONDS, signal);
      }
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    this.#socket.close();
  }

  /** Reports to every other host now. */
  report(): void {
    const own = this.#own;
    if (own === undefined) {
      return;
    }
    const text = JSON.stringify(createJSONRPCNotification(REPORT_METHOD, this.#ownReport(own)));
    for (const { host } of this.#options.view.records('entryHost')) {
      if (host.name !== own.name) {
        this.#socket.send(host.reportAddress, text);
      }
    }
  }

  /** Answers a peer that asks for what it does not know yet. */
  deltaFor({ afterRevision }: DeltaParams): DeltaResult {
    const { view } = this.#options;
    const age = this.#answeredAge();
    const delta = afterRevision === 0 ? undefined : view.deltaAfter(afterRevision);
    const known = delta ?? { afterRevision: 0, revision: view.revision, changes: view.entries };
    return {
      isWhole: delta === undefined,
      ...known,
      changes: [...known.changes],
      ...(age === undefined ? {} : { answeredAgeMilliseconds: age }),
    };
  }

  /** Asks a peer, by its address, for what it knows beyond this host; tells whether it helped. */
  async fetchFrom(address: string): Promise<boolean> {
    const { view, client, clock, events } = this.#options;
    const askedAt = clock.now();
    const answer = await client.delta(address, view.lastChange);
    if (answer.isErr() || answer.value.revision === 0) {
      return false;
    }
    const { isWhole, revision, changes, answeredAgeMilliseconds } = answer.value;
    if (isWhole) {
      view.replace(revision, changes);
    } else {
      view.apply(answer.value);
    }
    if (answeredAgeMilliseconds !== undefined) {
      view.confirm(view.lastChange, askedAt - answeredAgeMilliseconds);
    }
    if (changes.length > 0) {
      events.write({
        event: 'view',
        source: address,
        revision,
        changes: changes.map(({ key }) => key),
      });
    }
    return true;
  }

  #ownReport(own: EntryHostRecord): Record<string, unknown> {
    const { view, inFlight, isLeaving } = this.#options;
    const age = this.#answeredAge();
    this.#sequence++;
    return {
      name: own.name,
      incarnation: own.incarnation,
      sequence: this.#sequence,
      lastChange: view.lastChange,
      ...(age === undefined ? {} : { answeredAgeMilliseconds: age }),
      leaving: isLeaving(),
      inFlight: inFlight(),
    };
  }

  #answeredAge(): number | undefined {
    const { clock, storeAnsweredAt } = this.#options;
    const age = clock.now() - storeAnsweredAt();
    return Number.isFinite(age) ? Math.round(age) : undefined;
  }

  #takeDatagram(text: string): void {
    const { events, peers } = this.#options;
    try {
      const parsed = notificationSchema.safeParse(JSON.parse(text));
      if (parsed.success) {
        peers.take(parsed.data.params);
        return;
      }
      events.logger.warn('unexpected datagram', { detail: parsed.error.message });
    } catch (error) {
      events.logger.warn('unexpected datagram', { detail: String(error) });
    }
  }

  /** Confirms the view by the peer's, or fetches what the peer knows beyond it. */
  #compare({ name, report, heardAt }: Peer): void {
    const { view } = this.#options;
    if (report.lastChange <= view.lastChange) {
      const { answeredAgeMilliseconds: age } = report;
      if (age !== undefined) {
        view.confirm(report.lastChange, heardAt - age);
      }
      return;
    }
    if (this.#isFetching) {
      return;
    }
    const record = view.records('entryHost').find(({ host }) => host.name === name);
    if (record !== undefined) {
      this.#isFetching = true;
      void this.fetchFrom(record.host.controlAddress).finally(() => {
        this.#isFetching = false;
      });
    }
  }
}
