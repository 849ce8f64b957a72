import type { Clock } from '@ferrylock/utils';
import type { TargetWords } from '../request/target-words.js';
import type { ServiceDirectory } from '../services/service-directory.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface RestMetricsOptions {
  readonly clock: Clock;
  readonly words: TargetWords;
  readonly directory: Pick<ServiceDirectory, 'allServices'>;
}

/** Which targets have asked this daemon for rest, and for how much longer, in the Prometheus text format. */
export function restMetrics({ clock, words, directory }: RestMetricsOptions): string {
  const now = clock.now();
  const resting = directory.allServices().flatMap(({ account, service, targets }) =>
    targets
      .all()
      .filter((target) => target.isResting(now))
      .map(({ name, word }) => {
        const seconds = (word.restsUntil - now) / MILLISECONDS_PER_SECOND;
        const labels = `account="${account}",service="${service}",target="${name}"`;
        return `ferrylock_target_rest_seconds{${labels}} ${seconds}`;
      }),
  );
  const lines = [
    '# HELP ferrylock_rests_total Rests that targets asked this daemon for.',
    '# TYPE ferrylock_rests_total counter',
    `ferrylock_rests_total ${words.rests}`,
    '# HELP ferrylock_unwanted_sends_total Requests sent to a target that had asked for rest.',
    '# TYPE ferrylock_unwanted_sends_total counter',
    `ferrylock_unwanted_sends_total ${words.unwantedSends}`,
    '# HELP ferrylock_target_rest_seconds Time until a target wants work again.',
    '# TYPE ferrylock_target_rest_seconds gauge',
    ...resting,
  ];
  return `${lines.join('\n')}\n`;
}
