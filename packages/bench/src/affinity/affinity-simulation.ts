import { TargetState } from '@ferrylock/routing';
import { SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import TinyQueue from 'tinyqueue';
import type { AffinityWay, AffinityWayOptions } from './affinity-way.js';
import { WarmTarget } from './warm-target.js';

/** Time between two reports of a host to the others, as the product's. */
const REPORT_MILLISECONDS = 200;
const REGIONS = 3;
/** One way between regions, and between a host and a target of its region. */
const FAR_MILLISECONDS = 12;
const NEAR_MILLISECONDS = 1;
const ANSWER_BYTES = 5_000;
/** Relative standard deviation of the time of work, as the deployments'. */
const SPREAD = 0.15;

/** A deployment at one size, as many targets, keys and requests for each host at all sizes. */
export interface AffinityScenario {
  readonly hosts: number;
  readonly targets: number;
  readonly keys: number;
  readonly requestsPerSecond: number;
  readonly milliseconds: number;
  readonly objectiveMilliseconds: number;
  readonly seed: number;
}

export interface AffinityOutcome {
  readonly knownShare: number;
  readonly inObjectiveShare: number;
  readonly refusedShare: number;
  readonly p99Milliseconds: number;
  readonly mostWaiting: number;
  readonly farBytesShare: number;
}

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

interface Host {
  readonly region: number;
  readonly states: Map<string, TargetState>;
  readonly way: AffinityWay;
}

/** Plays one way on emulated targets in virtual time. */
export class AffinitySimulation {
  readonly #scenario: AffinityScenario;
  readonly #random: Random;
  readonly #events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
  readonly #targets = new Map<string, WarmTarget>();
  readonly #hosts: Host[] = [];
  readonly #durations: number[] = [];
  #order = 0;
  #asked = 0;
  #known = 0;
  #refused = 0;
  #far = 0;

  constructor(scenario: AffinityScenario, makeWay: (options: AffinityWayOptions) => AffinityWay) {
    this.#scenario = scenario;
    this.#random = new SeededRandom(scenario.seed);
    for (let index = 0; index < scenario.targets; index++) {
      this.#addTarget(index);
    }
    for (let index = 0; index < scenario.hosts; index++) {
      this.#addHost(index, makeWay);
    }
  }

  run(): AffinityOutcome {
    this.#schedule(0, () => {
      this.#arrive(0);
    });
    for (const [index] of this.#hosts.entries()) {
      this.#schedule((index / this.#hosts.length) * REPORT_MILLISECONDS, () => {
        this.#report(index, 0);
      });
    }
    for (let event = this.#events.pop(); event !== undefined; event = this.#events.pop()) {
      event.run();
    }
    const sorted = this.#durations.sort((a, b) => a - b);
    const inTime = sorted.filter((value) => value <= this.#scenario.objectiveMilliseconds).length;
    return {
      knownShare: this.#known / sorted.length,
      inObjectiveShare: inTime / this.#asked,
      refusedShare: this.#refused / this.#asked,
      p99Milliseconds: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
      mostWaiting: Math.max(...[...this.#targets.values()].map((target) => target.mostWaiting)),
      farBytesShare: this.#far / (this.#asked * ANSWER_BYTES),
    };
  }

  #addTarget(index: number): void {
    const id = `target-${index}`;
    const target = new WarmTarget({
      id,
      region: index % REGIONS,
      slots: 6,
      holds: 49,
      knownMilliseconds: 144,
      unknownMilliseconds: 480,
      schedule: (at, run) => {
        this.#schedule(at, run);
      },
      spread: () => 1 + SPREAD * (this.#random.next() - 0.5) * Math.sqrt(12),
    });
    this.#targets.set(id, target);
  }

  #addHost(index: number, makeWay: (options: AffinityWayOptions) => AffinityWay): void {
    const region = index % REGIONS;
    const states = new Map<string, TargetState>();
    for (const target of this.#targets.values()) {
      const record = {
        id: target.id,
        service: 'service',
        address: '127.0.0.1:1',
        failureDomain: String(target.region),
        softwareVersion: 'v1',
        slots: 6,
        state: 'ready' as const,
        coldMilliseconds: 0,
      };
      states.set(target.id, new TargetState(record, 0));
    }
    const way = makeWay({
      targets: states,
      hosts: this.#scenario.hosts,
      random: new SeededRandom(this.#scenario.seed + 1 + index),
      choice: {
        ownRegion: String(region),
        regionOf: (failureDomain) => failureDomain,
        isEvacuated: () => false,
      },
    });
    this.#hosts.push({ region, states, way });
  }

  #schedule(at: number, run: () => void): void {
    this.#events.push({ at, order: this.#order++, run });
  }

  #arrive(now: number): void {
    const { requestsPerSecond, milliseconds, keys } = this.#scenario;
    const next = now - (Math.log(1 - this.#random.next()) * 1_000) / requestsPerSecond;
    if (next < milliseconds) {
      this.#schedule(next, () => {
        this.#arrive(next);
      });
    }
    const host = this.#hosts[Math.floor(this.#random.next() * this.#hosts.length)];
    const key = `object-${Math.floor(this.#random.next() * keys)}`;
    this.#asked++;
    const state = host?.way.choose(key, now);
    if (host === undefined || state === undefined) {
      this.#refused++;
      return;
    }
    this.#send(host, state, key, now);
  }

  #send(host: Host, state: TargetState, key: string, now: number): void {
    const target = this.#targets.get(state.id);
    const isFar = target?.region !== host.region;
    const way = isFar ? FAR_MILLISECONDS : NEAR_MILLISECONDS;
    this.#far += isFar ? ANSWER_BYTES : 0;
    state.inFlight++;
    this.#schedule(now + way, () => {
      const isTaken = target?.take(
        {
          key,
          onEnd: (at, wasKnown) => {
            this.#known += wasKnown ? 1 : 0;
            this.#schedule(at + way, () => {
              state.inFlight--;
              state.recordAnswer(key, at + way);
              this.#durations.push(at + way - now);
            });
          },
        },
        now + way,
      );
      if (isTaken !== true) {
        state.inFlight--;
        this.#refused++;
      }
    });
  }

  /** Tells the other hosts what this one has under way, and does so again until the end. */
  #report(index: number, now: number): void {
    const reporting = this.#hosts[index];
    for (const host of this.#hosts) {
      if (host !== reporting && reporting !== undefined) {
        copyInFlight(reporting, `host-${index}`, host);
      }
    }
    if (now < this.#scenario.milliseconds) {
      this.#schedule(now + REPORT_MILLISECONDS, () => {
        this.#report(index, now + REPORT_MILLISECONDS);
      });
    }
  }
}

function copyInFlight(from: Host, name: string, to: Host): void {
  for (const [id, { inFlight }] of from.states) {
    const others = to.states.get(id)?.othersInFlight;
    if (inFlight > 0) {
      others?.set(name, inFlight);
    } else {
      others?.delete(name);
    }
  }
}
