import type { TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';

/** From a host's being asked for rest to the others' knowing, and how often a hint is renewed there. */
const TOLD_AFTER_MILLISECONDS = 150;
const HINT_MILLISECONDS = 90;

/**
 * What a host makes of a rest that another one was asked for. `hint`: it prefers other targets as long; `hint-from-two`: once
 * two hosts were asked.
 */
export type RestOfOthers = 'nothing' | 'the-same' | 'hint' | 'hint-from-two';

export interface ToldRestsOptions {
  readonly clock: Clock;
  readonly others: RestOfOthers;
  /** A target as each host but the named one knows it. */
  readonly atOthers: (host: string, target: string) => readonly TargetState[];
}

/** What hosts make of rests that others were asked for: ways that are compared with making nothing of them. */
export class ToldRests {
  readonly #options: ToldRestsOptions;
  /** Hosts that each target asked for rest, with the end of it. */
  readonly #asked = new Map<string, Map<string, number>>();

  constructor(options: ToldRestsOptions) {
    this.#options = options;
  }

  /** A target asked a host for rest. */
  tell(host: string, target: string, milliseconds: number): void {
    const { clock, others, atOthers } = this.#options;
    const until = clock.now() + milliseconds;
    const asked = this.#asked.get(target) ?? new Map<string, number>();
    this.#asked.set(target, asked.set(host, until));
    const askedNow = [...asked.values()].filter((end) => end > clock.now()).length;
    if (
      milliseconds === 0 ||
      others === 'nothing' ||
      (others === 'hint-from-two' && askedNow < 2)
    ) {
      return;
    }
    clock.after(TOLD_AFTER_MILLISECONDS, () => {
      for (const other of atOthers(host, target)) {
        this.#hear(other, until);
      }
    });
  }

  /** A host hears that another one was asked for rest. */
  #hear(target: TargetState, until: number): void {
    const { clock, others } = this.#options;
    const now = clock.now();
    if (now >= until) {
      return;
    }
    if (others === 'the-same') {
      target.signals.recordRest(until - now, now);
    } else {
      target.recordShed(now);
      clock.after(HINT_MILLISECONDS, () => {
        this.#hear(target, until);
      });
    }
  }
}
