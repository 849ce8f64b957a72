import { promisesNotRun } from './refusal.js';
import type { ResponseMetadata } from './header-codec.js';

/** Number of responses of targets that say "not run", by status or by the target's mark. */
export interface TargetRefusalCount {
  readonly status: number;
  /** Whether the target marked the response as one to a request that it has not run. */
  readonly isMarked: boolean;
  readonly count: number;
}

/** Counts what targets say of requests that they answer as not run. */
export class TargetRefusals {
  readonly #counts = new Map<string, TargetRefusalCount>();

  get counts(): readonly TargetRefusalCount[] {
    return [...this.#counts.values()];
  }

  /** Records a response to the request that was sent. */
  record(status: number, { isNotRun: isMarked }: Pick<ResponseMetadata, 'isNotRun'>): void {
    if (!isMarked && !promisesNotRun(status)) {
      return;
    }
    const key = `${status}/${isMarked}`;
    const count = (this.#counts.get(key)?.count ?? 0) + 1;
    this.#counts.set(key, { status, isMarked, count });
  }
}
