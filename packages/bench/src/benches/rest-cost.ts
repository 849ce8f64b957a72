import { EventLog, TargetSignalRecorder } from '@ferrylock/entry';
import { NO_DISABLED_MECHANISMS, TargetLimits, TargetState } from '@ferrylock/routing';
import { makeTargetRecord } from '@ferrylock/test-utils';
import { SeededRandom, silentLogger, SystemClock } from '@ferrylock/utils';
import { measureHostProcess } from '../fleet/measure-host-process.js';
import { processorMilliseconds } from '../processor-milliseconds.js';
import type { Bench } from '../report.js';
import { atMost, rounded } from '../report.js';

const REQUESTS = 200_000;
/** Targets that a choice looks at: twelve of each of three regions at most. */
const LOOKED_AT = 36;
const MOST_OF_REQUEST = 0.01;
const SERVICE = { name: 'verdict-api' };
const SAYS_NOTHING = {
  isLeaving: false,
  restMilliseconds: undefined,
  limitPerSecond: undefined,
  unknownHeaders: [],
};

/** What it costs a request that targets may ask for rest or name limits, while none does, beside a request of a process of its own. */
export const restCost: Bench = async ({ progress }) => {
  progress('looks …');
  const clock = new SystemClock();
  const words = new TargetSignalRecorder({
    clock,
    events: new EventLog(silentLogger),
    onLimitChange: () => undefined,
  });
  const targets = Array.from(
    { length: LOOKED_AT },
    (_, index) => new TargetState(makeTargetRecord({ id: `target-${index}` }), clock.now()),
  );
  const hosts = ['host-1'];
  const limits = new TargetLimits({
    clock,
    random: new SeededRandom(1),
    usageElsewhere: () => ({ used: 0, demandPerSecond: 0 }),
    fleet: () => ({ hosts, ownName: 'host-1', visibleHostShare: 1 }),
    disabledMechanisms: NO_DISABLED_MECHANISMS,
  });
  const [first] = targets;
  let resting = 0;
  const milliseconds =
    processorMilliseconds(() => {
      for (let request = 0; request < REQUESTS && first !== undefined; request++) {
        const now = clock.now();
        for (const target of targets) {
          resting += Number(target.isResting(now, NO_DISABLED_MECHANISMS));
        }
        resting += Number(limits.tryAcquire(first));
        words.recordSend(first);
        resting += Number(first.isResting(clock.now()));
        words.recordResponse(SERVICE, first, SAYS_NOTHING, now);
      }
    }) / REQUESTS;
  progress('whole requests …');
  const { requestMilliseconds } = await measureHostProcess('pooled');
  return {
    setup: { requests: REQUESTS, targetsLookedAt: LOOKED_AT, resting },
    rows: [
      { what: 'a request’s looks while nobody rests, µs', value: rounded(1_000 * milliseconds) },
      { what: 'the same of a whole request', value: rounded(milliseconds / requestMilliseconds) },
    ],
    targets: [atMost('looks', MOST_OF_REQUEST, milliseconds / requestMilliseconds, 'of a request')],
  };
};
