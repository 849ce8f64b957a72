import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';

const SETTLE_MILLISECONDS = 6_000;
const PLAY_MILLISECONDS = 40_000;
const STEP_MILLISECONDS = 100;
/** Bound on the time from the store's confirmation of a change until all hosts go by it. */
const BOUND_MILLISECONDS = 3_000;
/** Time without an impairment from which a host counts as in touch. */
const IN_TOUCH_MILLISECONDS = 4_000;
const NARROW_LINK_BYTES_PER_SECOND = 875_000;
const WIDE_LINK_BYTES_PER_SECOND = 17_500_000;
const LOSS_SHARE = 0.05;
/** Shares of the hosts that end, and that are cut off, in one moment. */
const ENDING_SHARE = 0.3;
const CUT_SHARE = 0.15;

export interface FaultPlayOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Whether several faults strike in the same moment, right beside a change. */
  readonly isAtOnce: boolean;
}

/** A fleet whose configuration changes beside faults, and what its hosts in touch did wrong. */
export class FaultPlay {
  readonly clock = new FakeClock();
  readonly fleet: EntryFleet;
  readonly #random: Random;
  /** Times at which each host was last impaired; in the future while it is. */
  readonly #impairedUntil = new Map<number, number>();
  readonly #confirmedAt = new Map<number, number>();
  /** Newest version that each start of a host has had. */
  readonly #hadVersion = new Map<string, number>();
  #version = 1;
  readonly broken: string[] = [];

  constructor(readonly options: FaultPlayOptions) {
    const { seed, hosts } = options;
    this.#random = new SeededRandom(seed);
    this.fleet = new EntryFleet({
      clock: this.clock,
      hosts,
      domains: 6,
      largeHostsPerDomain: 1,
      targetsPerService: 10,
      services: 2,
      seed,
      listingPageItems: 8,
      linkBytesPerSecond: ({ capacity }) =>
        capacity > 1 ? WIDE_LINK_BYTES_PER_SECOND : NARROW_LINK_BYTES_PER_SECOND,
    });
  }

  async play(): Promise<void> {
    this.fleet.start();
    await this.clock.advance(SETTLE_MILLISECONDS);
    this.fleet.network.lossShare = LOSS_SHARE;
    for (let played = 0; played < PLAY_MILLISECONDS; played += STEP_MILLISECONDS) {
      this.#act();
      await this.clock.advance(STEP_MILLISECONDS);
      this.#check();
    }
  }

  #act(): void {
    const draw = this.#random.next();
    const host = this.#drawHost();
    const milliseconds = 500 + this.#random.next() * 3_500;
    if (draw < 0.2) {
      this.#change();
    } else if (draw < 0.25) {
      this.fleet.addTargets(1);
    } else if (draw < 0.27 && !this.#isImpaired(host)) {
      this.#impair(host, milliseconds);
      void this.fleet.restartHost(host, milliseconds);
    } else if (draw < 0.31) {
      this.#cutPath(host, this.#drawHost(), milliseconds);
    } else if (draw < 0.33 && !this.#isImpaired(host)) {
      this.#impair(host, milliseconds);
      this.fleet.setStoreCut(host, true);
      this.clock.after(milliseconds, () => {
        this.fleet.setStoreCut(host, false);
      });
    } else if (draw < 0.34) {
      this.fleet.store.forgetHistory();
    } else if (draw < 0.36 && this.options.isAtOnce) {
      this.#strikeAtOnce(milliseconds);
    }
  }

  #drawHost(): number {
    return randomIndex(this.#random, this.options.hosts);
  }

  #change(): void {
    this.#version++;
    this.fleet.configure(this.#version, 30);
    this.#confirmedAt.set(this.#version, this.clock.now());
  }

  /** Ends many hosts, cuts others off, changes the configuration and forgets how it came about. */
  #strikeAtOnce(milliseconds: number): void {
    for (let host = 0; host < this.options.hosts; host++) {
      const draw = this.#random.next();
      if (this.#isImpaired(host)) {
        continue;
      }
      if (draw < ENDING_SHARE) {
        this.#impair(host, milliseconds);
        void this.fleet.restartHost(host, milliseconds);
      } else if (draw < ENDING_SHARE + CUT_SHARE) {
        this.#impair(host, milliseconds);
        this.#cutOff(host, milliseconds);
      }
    }
    this.#change();
    this.fleet.store.forgetHistory();
  }

  /** Cuts a host off from the store and from all other hosts. */
  #cutOff(host: number, milliseconds: number): void {
    const set = (isCut: boolean): void => {
      this.fleet.setCut(host, isCut);
      this.fleet.setStoreCut(host, isCut);
    };
    set(true);
    this.clock.after(milliseconds, () => {
      set(false);
    });
  }

  /** Cuts the path between two hosts in one direction; both stay in touch with all others. */
  #cutPath(from: number, to: number, milliseconds: number): void {
    const [source, target] = [this.fleet.hosts[from]?.record, this.fleet.hosts[to]?.record];
    const path = [source?.name ?? '', target?.name ?? ''] as const;
    this.fleet.network.setPathCut(...path, true);
    this.clock.after(milliseconds, () => {
      this.fleet.network.setPathCut(...path, false);
    });
  }

  #isImpaired(host: number): boolean {
    return (this.#impairedUntil.get(host) ?? -Infinity) >= this.clock.now();
  }

  #impair(host: number, milliseconds: number): void {
    const until = this.clock.now() + milliseconds;
    this.#impairedUntil.set(host, Math.max(until, this.#impairedUntil.get(host) ?? 0));
  }

  #check(): void {
    const now = this.clock.now();
    const due = [...this.#confirmedAt].filter(([, at]) => now - at > BOUND_MILLISECONDS);
    const dueVersion = Math.max(0, ...due.map(([version]) => version));
    for (const [index, { record, member }] of this.fleet.hosts.entries()) {
      const version = member.state.active?.version ?? 0;
      const inTouchFor = now - (this.#impairedUntil.get(index) ?? -Infinity);
      if (version < dueVersion && inTouchFor > IN_TOUCH_MILLISECONDS) {
        this.broken.push(`${now}: ${record.name} goes by ${version}, due ${dueVersion}`);
      }
      const had = this.#hadVersion.get(record.incarnation) ?? 0;
      if (version < had) {
        this.broken.push(`${now}: ${record.name} went back from ${had} to ${version}`);
      }
      this.#hadVersion.set(record.incarnation, Math.max(had, version));
    }
  }
}
