import type { Random } from '@ferrylock/utils';
import { shuffled } from '@ferrylock/utils';
import type { EmulatedHost } from './emulated-host.js';
import type { EmulatedTarget } from './emulated-target.js';
import type { Scenario, ScenarioEvent } from './scenario.js';
import type { VirtualTime } from './virtual-time.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface DisruptionsOptions {
  readonly scenario: Scenario;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly targets: ReadonlyMap<string, EmulatedTarget>;
  readonly hosts: () => readonly EmulatedHost[];
  readonly restartHost: (host: EmulatedHost) => void;
}

/** Brings about what a scenario's events say. */
export class Disruptions {
  /** How many times the ordinary demand there is now. */
  demandFactor = 1;
  readonly #options: DisruptionsOptions;
  readonly #evacuated = new Set<string>();

  constructor(options: DisruptionsOptions) {
    this.#options = options;
  }

  isEvacuated(region: string): boolean {
    return this.#evacuated.has(region);
  }

  schedule(): void {
    const { scenario, time } = this.#options;
    for (const event of Object.values(scenario.events)) {
      time.after(event.atSeconds * MILLISECONDS_PER_SECOND, () => {
        const end = this.#begin(event);
        time.after(event.forSeconds * MILLISECONDS_PER_SECOND, end);
      });
    }
  }

  /** @returns what ends it */
  #begin(event: ScenarioEvent): () => void {
    switch (event.kind) {
      case 'burst':
        return this.#burst(event.factor);
      case 'evacuation':
        return this.#evacuate(event.region ?? '');
      case 'host-restart':
        this.#restartHosts(event.share);
        return () => undefined;
      case 'cold-return':
        return this.#coldReturn(this.#struck(event));
      case 'lost':
        this.#lose(this.#struck(event));
        return () => undefined;
      case 'slow':
        return this.#harm(this.#struck(event), { slowFactor: event.factor, refusedShare: 0 });
      case 'shedding':
        return this.#harm(this.#struck(event), { slowFactor: 1, refusedShare: event.factor });
      case 'resting':
        return this.#harm(this.#struck(event), {
          slowFactor: 1,
          refusedShare: 0,
          rest: {
            fromLoadPerSlot: event.factor,
            milliseconds: event.restMilliseconds,
            host: event.host,
          },
        });
    }
  }

  #struck({ region, service, share }: ScenarioEvent): EmulatedTarget[] {
    const named = [...this.#options.targets.values()].filter(
      ({ options, isGone }) =>
        !isGone &&
        (region === undefined || options.region === region) &&
        (service === undefined || options.service === service),
    );
    return shuffled(this.#options.random, named).slice(0, Math.ceil(share * named.length));
  }

  #burst(factor: number): () => void {
    this.demandFactor *= factor;
    return () => {
      this.demandFactor /= factor;
    };
  }

  #evacuate(region: string): () => void {
    this.#evacuated.add(region);
    return () => {
      this.#evacuated.delete(region);
    };
  }

  #restartHosts(share: number): void {
    const hosts = shuffled(this.#options.random, this.#options.hosts());
    for (const host of hosts.slice(0, Math.ceil(share * hosts.length))) {
      this.#options.restartHost(host);
    }
  }

  /** Targets are gone, and come back at the end with nothing known. */
  #coldReturn(targets: readonly EmulatedTarget[]): () => void {
    this.#lose(targets);
    return () => {
      for (const target of targets) {
        const service = this.#options.scenario.services[target.options.service];
        const coldMilliseconds = service?.coldMilliseconds ?? 0;
        target.isGone = false;
        target.restart(coldMilliseconds);
        for (const host of this.#options.hosts()) {
          host.learn(target, coldMilliseconds);
        }
      }
    };
  }

  #lose(targets: readonly EmulatedTarget[]): void {
    for (const target of targets) {
      target.isGone = true;
      for (const host of this.#options.hosts()) {
        host.forget(target);
      }
    }
  }

  #harm(targets: readonly EmulatedTarget[], fault: EmulatedTarget['fault']): () => void {
    for (const target of targets) {
      target.fault = fault;
    }
    return () => {
      for (const target of targets) {
        target.repair();
      }
    };
  }
}
