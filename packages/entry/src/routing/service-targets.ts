import type {
  RetryBound,
  RoutedService,
  TargetChoiceOptions,
  TargetRecord,
} from '@ferrylock/routing';
import { ColdGate, RetryAllowance, TargetChoice, TargetState } from '@ferrylock/routing';
import { MovingAverage } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';

export interface ServiceTargetsOptions extends TargetChoiceOptions {
  readonly clock: Clock;
  readonly retryBound: RetryBound;
}

/** How long requests get a connection each after a target sent an answer to another request. */
const DISTRUST_MILLISECONDS = 10_000;
/** Weight of one answer in the average time of work: some two seconds of a host's requests. */
const RUN_WEIGHT = 0.02;

/** One service's targets, how to choose among them, and what its requests may draw on. */
export class ServiceTargets {
  readonly targets = new Map<string, TargetState>();
  readonly choice: TargetChoice;
  readonly retries: RetryAllowance;
  readonly coldGate: ColdGate;
  /** Absent while no configuration names the service. */
  settings: RoutedService | undefined;
  readonly #clock: Clock;
  readonly #run = new MovingAverage(RUN_WEIGHT);
  #distrustedUntil = -Infinity;

  constructor(
    readonly name: string,
    options: ServiceTargetsOptions,
  ) {
    this.#clock = options.clock;
    this.choice = new TargetChoice(this.targets, options);
    this.retries = new RetryAllowance(options.clock, options.retryBound);
    this.coldGate = new ColdGate(options.clock);
  }

  /** Takes a record on; tells whether it was not known before. */
  put(record: TargetRecord): boolean {
    const now = this.#clock.now();
    const known = this.targets.get(record.id);
    if (known !== undefined) {
      known.update(record, now);
      return false;
    }
    this.targets.set(record.id, new TargetState(record, now));
    this.choice.membersChanged();
    return true;
  }

  /** Whether connections to its targets may carry bytes that belong to no request. */
  get isDistrusted(): boolean {
    return this.#clock.now() < this.#distrustedUntil;
  }

  /**
   * One of its targets answered a request that it was not asked.
   *
   * @returns whether its connections were trusted until now
   */
  distrust(): boolean {
    const wasTrusted = !this.isDistrusted;
    this.#distrustedUntil = this.#clock.now() + DISTRUST_MILLISECONDS;
    return wasTrusted;
  }

  /** Average time of work on a request, without waiting for a slot; undefined before the first. */
  get runMilliseconds(): number | undefined {
    return this.#run.value;
  }

  /**
   * Learns from a request that was answered.
   *
   * @param loadPerSlot - the target's load when the request was sent, for each of its slots
   */
  recordAnswer(milliseconds: number, loadPerSlot: number): void {
    this.#run.add(milliseconds / Math.max(1, loadPerSlot));
  }

  remove(id: string): void {
    this.targets.delete(id);
    this.coldGate.forget(id);
    this.choice.membersChanged();
  }
}
