import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import type { BackgroundTasks, Clock } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { RoutedExchange } from '../request/caller-exchange.js';
import type { CheckConnection, ConnectionCheck } from '../reachability/check-connection.js';
import { requestFingerprint } from './request-fingerprint.js';

/**
 * Delay between a connection loss and the check of the target. A crashing process has closed its
 * listening socket by then, and restarts after a second at the earliest.
 */
const CHECK_DELAY_MILLISECONDS = 50;
/** Time for which a crash is remembered, for connection losses that are noticed late. */
const CRASH_MEMORY_MILLISECONDS = 10_000;
/** Maximum number of requests logged for one crash. */
const MAX_LOGGED_REQUESTS = 32;
/** Maximum length of a logged path. */
const MAX_PATH_CHARACTERS = 200;

/** A request that a target had when it crashed. */
export interface LostRequest {
  readonly fingerprint: string;
  readonly requestId: string;
  readonly route: string;
  /** Name of the caller's client account. */
  readonly account?: string;
  /** Without the query. */
  readonly path: string;
}

/** Crash of a target, with this host's requests at it. */
export interface TargetCrash {
  /** Incarnation that crashed; its successor may have the same target id. */
  readonly target: string;
  readonly requests: readonly LostRequest[];
}

export interface TargetCrashDetectorOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly checkConnection: CheckConnection;
  /** Checks whether this host reaches other targets by the path to a target. */
  readonly isPathWhole: (target: TargetState) => Promise<boolean>;
  readonly onCrash: (crash: TargetCrash) => void;
}

/** Lost responses of a target that is being checked. */
interface Losses {
  readonly service: ServiceTargets;
  readonly state: TargetState;
  readonly requests: LostRequest[];
}

/**
 * Detects crashes of targets from lost responses. A connection that closes early does not suffice:
 * connections are also reset while their target is alive. A target has crashed if, in addition, no
 * process listens at its address although its record does not announce a shutdown, and other targets
 * accept connections: a broken path may refuse them, too.
 */
export class TargetCrashDetector {
  /** Number of crashes detected. */
  crashes = 0;
  readonly #options: TargetCrashDetectorOptions;
  readonly #tasks: BackgroundTasks;
  readonly #losses = new Map<string, Losses>();
  /** Detection times by incarnation, oldest first. */
  readonly #crashedAt = new Map<string, number>();

  constructor(options: TargetCrashDetectorOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
  }

  /**
   * Retracts a crash if the target responds to a request that was sent before it was detected. A
   * later request may have been served by the next incarnation. Returns whether a crash was
   * retracted.
   */
  retractCrash({ incarnationId: incarnation }: TargetState, sentAt: number): boolean {
    const crashedAt = this.#crashedAt.size > 0 ? this.#crashedAt.get(incarnation) : undefined;
    return crashedAt !== undefined && sentAt < crashedAt && this.#crashedAt.delete(incarnation);
  }

  /** Records that a target's connection closed before the response was complete. */
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
    } else if (this.#crashedAt.has(state.incarnationId)) {
      this.#reportCrash({ service, state, requests: [request] });
    } else {
      const losses = { service, state, requests: [request] };
      this.#losses.set(state.incarnationId, losses);
      this.#options.clock.after(CHECK_DELAY_MILLISECONDS, () => {
        this.#tasks.run('crash check', () => this.#check(losses));
      });
    }
  }

  async #check(losses: Losses): Promise<void> {
    const { service, state } = losses;
    const { checkConnection, isPathWhole } = this.#options;
    let check: ConnectionCheck = 'unknown';
    let isPathBroken = false;
    try {
      check = await checkConnection(state.record.address);
      isPathBroken = check === 'refused' && !(await isPathWhole(state));
    } finally {
      this.#losses.delete(state.incarnationId);
    }
    if (check === 'refused' && !isPathBroken && isServing(service, state)) {
      this.crashes++;
      this.#remember(state.incarnationId);
      this.#reportCrash(losses);
    } else {
      this.#log(losses, isPathBroken ? 'unreachable' : check);
    }
  }

  #remember(incarnation: string): void {
    const now = this.#options.clock.now();
    this.#crashedAt.set(incarnation, now);
    for (const [oldest, at] of this.#crashedAt) {
      if (now - at < CRASH_MEMORY_MILLISECONDS) {
        return;
      }
      this.#crashedAt.delete(oldest);
    }
  }

  #reportCrash(losses: Losses): void {
    this.#log(losses, 'refused');
    this.#options.onCrash({ target: losses.state.incarnationId, requests: losses.requests });
  }

  #log({ service, state, requests }: Losses, connection: ConnectionCheck | 'unreachable'): void {
    this.#options.events.write({
      event: 'answers-lost',
      target: state.id,
      service: service.name,
      connection,
      requests: requests.slice(0, MAX_LOGGED_REQUESTS),
    });
  }
}

/** Checks whether a shutdown of the target would be unexpected. */
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
    path: withoutQuery.slice(0, MAX_PATH_CHARACTERS),
  };
}
