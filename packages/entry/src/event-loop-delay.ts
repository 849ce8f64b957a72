import type { Clock } from '@ferrylock/utils';

/** A gap in running from which callers may have left before their request is read. */
const LATE_MILLISECONDS = 150;
/** How long a process counts as behind after such a gap, and after its start: what lies unread is read. */
const BEHIND_MILLISECONDS = 3_000;

/**
 * Whether this process ran late lately, as while it starts on a small host, was frozen or has more work
 * than its share of a core. What it reads then may be from callers that have left meanwhile.
 */
export class EventLoopDelay {
  #lateAt: number;

  constructor(readonly clock: Clock) {
    this.#lateAt = clock.now();
  }

  /** @param milliseconds - how much later than it was due a timer was called */
  record(milliseconds: number): void {
    if (milliseconds > LATE_MILLISECONDS) {
      this.#lateAt = this.clock.now();
    }
  }

  get isLagging(): boolean {
    return this.clock.now() - this.#lateAt < BEHIND_MILLISECONDS;
  }
}
