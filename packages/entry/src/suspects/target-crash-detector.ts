import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { RoutedExchange } from '../request/caller-exchange.js';
import type { CheckConnection, ConnectionCheck } from './check-connection.js';
import { requestFingerprint } from './request-fingerprint.js';

/**
 * From a lost answer to the look whether its target has ended. Within it a process that ends has closed all
 * it had, its listening socket too; it is back after a second at the earliest.
 */
const CHECK_AFTER_MILLISECONDS = 50;
/** How long the end of a target is known, for answers whose loss is noticed late. */
const REMEMBERED_MILLISECONDS = 10_000;
/** Requests of this host at one target that are written down; targets run and hold some 25. */
const MOST_REQUESTS = 32;
/** Longest part of a path that is written down. */
const MOST_PATH_CHARACTERS = 200;

/** A request that a target had when it ended. */
export interface LostRequest {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly route: string;
  /** Name of the client account that it comes from. */
  readonly account?: string;
  /** Without the query. */
  readonly path: string;
}

/** A target's end, with requests of this host that it had. */
export interface TargetCrash {
  /** The start that ended; another may have the same id by now. */
  readonly target: string;
  readonly requests: readonly LostRequest[];
}

export interface TargetCrashDetectorOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly checkConnection: CheckConnection;
  readonly onCrash: (end: TargetCrash) => void;
}

/** Lost answers of a target that is being looked at. */
interface Losses {
  readonly service: ServiceTargets;
  readonly state: TargetState;
  readonly requests: LostRequest[];
}

/**
 * Tells targets that ended from answers that were lost. A connection that closes before the answer says little:
 * answers are cut, connections reset and idle ones forgotten while their target lives. A target has ended where,
 * besides, nobody listens at its address any more, although its record says that it neither leaves nor has left.
 */
export class TargetCrashDetector {
  /** Targets seen to end. */
  crashes = 0;
  readonly #options: TargetCrashDetectorOptions;
  readonly #losses = new Map<string, Losses>();
  /** When targets were seen to end, the longest ago first. */
  readonly #endedAt = new Map<string, number>();

  constructor(options: TargetCrashDetectorOptions) {
    this.#options = options;
  }

  /**
   * Whether a target was seen to end that answers a request which it was sent before: then it lives. What is sent
   * later may be answered by its next start, in its name. Tells it once.
   */
  retractCrash({ incarnationId: start }: TargetState, sentAt: number): boolean {
    const endedAt = this.#endedAt.size > 0 ? this.#endedAt.get(start) : undefined;
    return endedAt !== undefined && sentAt < endedAt && this.#endedAt.delete(start);
  }

  /** A target's connection closed before it had answered a request. */
  recordConnectionLoss(
    service: ServiceTargets,
    state: TargetState,
    exchange: RoutedExchange,
  ): void {
    if (!isServing(service, state)) {
      return;
    }
    const request = describeRequest(exchange);
    const known = this.#losses.get(state.incarnationId);
    if (known !== undefined) {
      known.requests.push(request);
    } else if (this.#endedAt.has(state.incarnationId)) {
      this.#tellEnd({ service, state, requests: [request] });
    } else {
      const losses = { service, state, requests: [request] };
      this.#losses.set(state.incarnationId, losses);
      this.#options.clock.after(CHECK_AFTER_MILLISECONDS, () => {
        void this.#check(losses);
      });
    }
  }

  async #check(losses: Losses): Promise<void> {
    const { service, state } = losses;
    const check = await this.#options.checkConnection(state.record.address);
    this.#losses.delete(state.incarnationId);
    if (check === 'refused' && isServing(service, state)) {
      this.crashes++;
      this.#remember(state.incarnationId);
      this.#tellEnd(losses);
    } else {
      this.#log(losses, check);
    }
  }

  #remember(start: string): void {
    const now = this.#options.clock.now();
    this.#endedAt.set(start, now);
    for (const [oldest, at] of this.#endedAt) {
      if (now - at < REMEMBERED_MILLISECONDS) {
        return;
      }
      this.#endedAt.delete(oldest);
    }
  }

  #tellEnd(losses: Losses): void {
    this.#log(losses, 'refused');
    this.#options.onCrash({ target: losses.state.incarnationId, requests: losses.requests });
  }

  #log({ service, state, requests }: Losses, connection: ConnectionCheck): void {
    this.#options.events.write({
      event: 'answers-lost',
      target: state.id,
      service: service.name,
      connection,
      requests: requests.slice(0, MOST_REQUESTS),
    });
  }
}

/** Whether its end would be unforeseen. */
function isServing({ targets }: ServiceTargets, state: TargetState): boolean {
  return !state.leaving && targets.get(state.id) === state;
}

function describeRequest(exchange: RoutedExchange): LostRequest {
  const { requestId, route, account, path } = exchange;
  const [withoutQuery = ''] = path.split('?');
  return {
    fingerprint: requestFingerprint(exchange),
    requestId,
    route: route.name,
    ...(account === undefined ? {} : { account: account.name }),
    path: withoutQuery.slice(0, MOST_PATH_CHARACTERS),
  };
}
