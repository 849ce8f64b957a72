export { BackgroundTasks } from './background-tasks.js';
export { SystemClock } from './clock.js';
export type { Clock } from './clock.js';
export { rendezvousRank, sha256, stableHash } from './hash.js';
export { createLogger, silentLogger } from './logger.js';
export type { Logger, LogLevel } from './logger.js';
export { MovingAverage } from './moving-average.js';
export { jittered, pickOne, randomIndex, SeededRandom, shuffled, systemRandom } from './random.js';
export type { Random } from './random.js';
