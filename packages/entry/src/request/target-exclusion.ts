import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import type { EventLog } from '../event-log.js';

export interface TargetExclusionOptions {
  readonly events: EventLog;
  readonly service: ServiceTargets;
  readonly target: TargetState;
}

/** Excludes a target that fails, or connections that are reused, for a while. */
export class TargetExclusion {
  readonly #options: TargetExclusionOptions;

  constructor(options: TargetExclusionOptions) {
    this.#options = options;
  }

  /** Excludes the target from selection for a while. */
  eject(reason: string): void {
    const { service, target } = this.#options;
    const milliseconds = service.recordFailure(target);
    this.#log('failing', `ejected for ${milliseconds} ms: ${reason}`);
  }

  /** Disables connection reuse for the service's targets for a while. */
  disableConnectionReuse(reason: string): void {
    if (this.#options.service.disableConnectionReuse()) {
      this.#log('distrusted', `connection reuse disabled for the service: ${reason}`);
    }
  }

  #log(state: 'failing' | 'distrusted', detail: string): void {
    const { events, service, target } = this.#options;
    events.write({ event: 'target', target: target.id, service: service.name, state, detail });
  }
}
