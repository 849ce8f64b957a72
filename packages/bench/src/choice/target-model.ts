import type { Clock } from '@ferrylock/utils';

/** A target that works on as many requests as it has slots; more of them wait at the target. */
export class TargetModel {
  /** Most requests at a time over its slots. */
  mostOverSlots = 0;
  readonly #waiting: (() => void)[] = [];
  /** Most requests at a time of each host: each takes a connection of its own. */
  readonly #mostByHost = new Map<number, number>();
  readonly #inFlightByHost = new Map<number, number>();
  #inFlight = 0;
  #working = 0;

  constructor(
    readonly name: string,
    readonly region: number,
    readonly slots: number,
    readonly clock: Clock,
  ) {}

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Connections that all hosts together open to it. */
  get connections(): number {
    return [...this.#mostByHost.values()].reduce((sum, most) => sum + most, 0);
  }

  /** Works on one request; resolves when its answer leaves. */
  async run(host: number, serviceMilliseconds: number): Promise<void> {
    this.#begin(host);
    if (this.#working >= this.slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#working++;
    await this.clock.sleep(serviceMilliseconds);
    this.#working--;
    this.#inFlight--;
    this.#inFlightByHost.set(host, (this.#inFlightByHost.get(host) ?? 1) - 1);
    this.#waiting.shift()?.();
  }

  #begin(host: number): void {
    this.#inFlight++;
    this.mostOverSlots = Math.max(this.mostOverSlots, this.#inFlight - this.slots);
    const own = (this.#inFlightByHost.get(host) ?? 0) + 1;
    this.#inFlightByHost.set(host, own);
    this.#mostByHost.set(host, Math.max(own, this.#mostByHost.get(host) ?? 0));
  }
}
