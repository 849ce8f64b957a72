import { incarnationId } from './target-incarnation.js';
import type { TargetIncarnation } from './target-incarnation.js';
import type { TargetState } from './target-state.js';
import type { TargetSignals } from './target-signals.js';

/** Starts whose word is kept; the first that went are forgotten first. */
const MOST_KEPT = 1_024;

/**
 * What starts of targets said of themselves, in answers or records, whose record has gone. A record goes and comes back while its target lives:
 * the store lost it, or a host learned of it late. Such a target still leaves, rests, or has its limit. Where targets do not tell when they
 * began, the id names the start.
 */
export class RemovedTargetSignals {
  readonly #kept = new Map<string, TargetSignals>();

  /** Its record has gone. An older one of the same start may come back, which does not know yet that the start leaves. */
  save({ incarnationId: start, signals: word, leaving }: TargetState, now: number): void {
    if (leaving) {
      word.recordLeaving();
    }
    if (!word.isLeaving && !word.isResting(now) && word.limit.perSecond === undefined) {
      return;
    }
    this.#kept.delete(start);
    this.#kept.set(start, word);
    if (this.#kept.size > MOST_KEPT) {
      this.#kept.delete(this.#kept.keys().next().value ?? '');
    }
  }

  /** What the start said that comes back; undefined where nothing is known. */
  restore(start: TargetIncarnation): TargetSignals | undefined {
    if (this.#kept.size === 0) {
      return undefined;
    }
    const name = incarnationId(start);
    const word = this.#kept.get(name);
    this.#kept.delete(name);
    return word;
  }
}
