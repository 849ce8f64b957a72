import type { Target } from '@ferrylock/steering';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered } from '@ferrylock/utils';
import { Agent } from 'undici';
import { LEAVING_HEADER } from '../http/headers.js';
import type { TargetWords } from '../request/target-words.js';
import type { ServiceDirectory } from './service-directory.js';
import type { ServiceRuntime } from './service-runtime.js';

const ROUND_MILLISECONDS = 1_000;
const TIMEOUT_MILLISECONDS = 500;
/** Probes under way at a time. */
const PARALLEL_PROBES = 16;
/** Targets not used by this daemon for this long are left to those that use them. */
const USED_MILLISECONDS = 10_000;

export interface TargetProberOptions {
  readonly directory: ServiceDirectory;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Told what targets say of themselves. */
  readonly words: TargetWords;
}

/**
 * Asks targets whether they are well or about to leave. A failed probe counts like a failed request;
 * an answered one never outweighs what requests themselves have met.
 */
export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #tasks: BackgroundTasks;
  readonly #agent = new Agent({ connections: 1, pipelining: 1, keepAliveTimeout: 4_000 });

  constructor(options: TargetProberOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
  }

  start(): void {
    this.#tasks.start('target probes', (signal) => this.#run(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
    await this.#agent.destroy();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      await this.#round();
      await clock.sleep(jittered(random, ROUND_MILLISECONDS), signal);
    }
  }

  async #round(): Promise<void> {
    const probes = this.#options.directory
      .allServices()
      .flatMap((service) => service.targets.all().map((target) => ({ service, target })))
      .filter(({ service, target }) => this.#isWorthProbing(service, target));
    const next = probes.values();
    const work = async (): Promise<void> => {
      for (const { service, target } of next) {
        await this.#probe(service, target);
      }
    };
    await Promise.all(Array.from({ length: PARALLEL_PROBES }, work));
  }

  /** Those in use here, and those left out here that may have come back. */
  #isWorthProbing(service: ServiceRuntime, target: Target): boolean {
    const now = this.#options.clock.now();
    const inUse = now - target.lastUsedAt < USED_MILLISECONDS;
    const leftOut = target.leaving || target.isEjected(now);
    const isWorth = service.declaration.probePath !== undefined && (inUse || leftOut);
    return isWorth && !target.isResting(now);
  }

  async #probe(service: ServiceRuntime, target: Target): Promise<void> {
    const { clock, words } = this.#options;
    const saidBefore = target.saidLeaving;
    try {
      const response = await this.#agent.request({
        origin: `http://${target.address}`,
        method: 'GET',
        path: service.declaration.probePath ?? '/',
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      await response.body.dump();
      // What answers probes may know nothing of a limit: silence there does not lift one.
      words.take(target, response.statusCode, response.headers, -Infinity);
      const leaving =
        response.headers[LEAVING_HEADER] !== undefined || target.saidLeaving > saidBefore;
      if (target.leaving && !leaving) {
        target.startCold(clock.now());
        service.gate.pump();
      }
      target.leaving = leaving;
      if (response.statusCode >= 500 && !leaving) {
        target.recordFailure(clock.now());
      }
    } catch {
      target.recordFailure(clock.now());
    }
  }
}
