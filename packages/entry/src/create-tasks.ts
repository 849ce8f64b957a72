import { BackgroundTasks } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';

export interface TasksOptions {
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Creates the background tasks of a component; the event log counts their failures. */
export function createTasks({ clock, events }: TasksOptions): BackgroundTasks {
  return new BackgroundTasks({
    clock,
    logger: events.logger,
    onFailure: (task) => {
      events.recordTaskFailure(task);
    },
  });
}
