import type { RetryBudgetState, ServiceTargets } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import { Throttle } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';

const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Decimal digits of what is left of a retry budget, and of parts of the fleet's slack. */
const DIGITS = 2;
const SHARE_DIGITS = 4;

/** Denials of one service since its last line. */
interface ServiceDenials {
  readonly throttle: Throttle;
  count: number;
}

/** Logs which service lacks retry budget, and what the host counted for it, once per interval. */
export class DeniedRepeatLog {
  readonly #services = new Map<string, ServiceDenials>();

  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
  ) {}

  record({ name, retryBudget }: Pick<ServiceTargets, 'name' | 'retryBudget'>): void {
    const denials = this.#services.get(name) ?? {
      throttle: new Throttle(this.clock, LOG_INTERVAL_MILLISECONDS),
      count: 0,
    };
    this.#services.set(name, denials);
    denials.count++;
    if (denials.throttle.tryAdmit()) {
      const { count } = denials;
      denials.count = 0;
      const state = roundedBudget(retryBudget.state);
      this.events.write({ event: 'repeats-denied', service: name, count, ...state });
    }
  }
}

/** State of a retry budget as log lines show it. */
export function roundedBudget(state: RetryBudgetState): RetryBudgetState {
  return {
    ...state,
    available: Number(state.available.toFixed(DIGITS)),
    slackShare: Number(state.slackShare.toFixed(SHARE_DIGITS)),
    ageMilliseconds: Math.round(state.ageMilliseconds),
  };
}
