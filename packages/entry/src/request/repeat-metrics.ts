import type { SendVerdict } from './target-send.js';

/** Why a request is sent again: how the send before it ended. */
export type RepeatCause = 'server-error' | 'target-refused' | 'target-failed' | 'unsent';

/** Repeats of one service's requests. */
export interface ServiceRepeats {
  readonly service: string;
  /** Numbers of sends that followed another one of the same request, by cause. */
  readonly granted: ReadonlyMap<RepeatCause, number>;
  /** Requests that were not sent again for lack of budget. */
  readonly denied: number;
}

interface MutableRepeats {
  readonly granted: Map<RepeatCause, number>;
  denied: number;
}

/** Counts by service how often requests are sent again, why, and how often the budget denies it. */
export class RepeatMetrics {
  readonly #services = new Map<string, MutableRepeats>();

  get rows(): ServiceRepeats[] {
    return [...this.#services].map(([service, counts]) => ({ service, ...counts }));
  }

  /** Number of sends that followed another one of the same request. */
  get total(): number {
    const counts = [...this.#services.values()].flatMap(({ granted }) => [...granted.values()]);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  recordGranted(service: string, cause: RepeatCause): void {
    const { granted } = this.#of(service);
    granted.set(cause, (granted.get(cause) ?? 0) + 1);
  }

  recordDenied(service: string): void {
    this.#of(service).denied++;
  }

  #of(service: string): MutableRepeats {
    const known = this.#services.get(service) ?? { granted: new Map(), denied: 0 };
    this.#services.set(service, known);
    return known;
  }
}

/** Why a request is sent again after a verdict. */
export function repeatCauseOf(verdict: SendVerdict): RepeatCause {
  switch (verdict.kind) {
    case 'answered':
      return 'server-error';
    case 'not-run':
      return verdict.reason === 'target-refused' ? 'target-refused' : 'unsent';
    default:
      return 'target-failed';
  }
}
