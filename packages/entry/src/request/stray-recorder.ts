import type { ServiceTargets, TargetState } from '@ferrylock/routing';
import { FirstOccurrences } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { StrayId, StrayKind, StrayResponse } from './stray-response.js';

/** Number of responses of one kind that were not taken as answers. */
export interface StrayCount {
  readonly kind: StrayKind;
  readonly id: StrayId;
  readonly count: number;
}

/** Counts responses that are not shown to belong to the requests that were sent. */
export class StrayRecorder {
  readonly #counts = new Map<string, StrayCount>();
  readonly #withoutId = new FirstOccurrences();

  constructor(readonly events: EventLog) {}

  get counts(): readonly StrayCount[] {
    return [...this.#counts.values()];
  }

  record(service: Pick<ServiceTargets, 'name'>, target: TargetState, stray: StrayResponse): void {
    const { strayKind: kind, strayId: id } = stray;
    const key = `${kind}/${id}`;
    this.#counts.set(key, { kind, id, count: (this.#counts.get(key)?.count ?? 0) + 1 });
    if (id === 'missing' && this.#withoutId.add(service.name) !== undefined) {
      this.events.write({
        event: 'unreadable-answer',
        target: target.id,
        service: service.name,
        detail: `request id: expected that of the request, but ${stray.message}`,
      });
    }
  }
}
