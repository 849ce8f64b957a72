import { incarnationId } from './target-incarnation.js';
import type { TargetIncarnation } from './target-incarnation.js';
import type { TargetState } from './target-state.js';
import type { TargetSignals } from './target-signals.js';

/** Limit on stored incarnations; the oldest is evicted first. */
const MAX_ENTRIES = 1_024;

/**
 * Stores the signals of incarnations whose record was removed. A record may disappear and return
 * while the target is alive, if the store lost it or a host received it late; its leaving, rest and
 * limit must still apply. If targets do not report a start time, the id identifies the incarnation.
 */
export class RemovedTargetSignals {
  readonly #entries = new Map<string, TargetSignals>();

  /** Saves the signals of a removed target, and that it leaves: an older record may return. */
  save({ incarnationId, signals, leaving }: TargetState, now: number): void {
    if (leaving) {
      signals.recordLeaving();
    }
    if (!signals.isLeaving && !signals.isResting(now) && signals.limit.perSecond === undefined) {
      return;
    }
    this.#entries.delete(incarnationId);
    this.#entries.set(incarnationId, signals);
    if (this.#entries.size > MAX_ENTRIES) {
      this.#entries.delete(this.#entries.keys().next().value ?? '');
    }
  }

  /** Returns and removes the signals of a returning incarnation; undefined if there are none. */
  restore(incarnation: TargetIncarnation): TargetSignals | undefined {
    if (this.#entries.size === 0) {
      return undefined;
    }
    const id = incarnationId(incarnation);
    const signals = this.#entries.get(id);
    this.#entries.delete(id);
    return signals;
  }
}
