import { RATE_UNITS } from '@ferrylock/control';
import type { AllotmentLedger, DividedLimit, SlotBorrower, SlotLoans } from '@ferrylock/control';
import type { Declaration, Drain, ServiceDeclaration } from '@ferrylock/schema';
import type { DistanceMap, LinkLimits, Place } from '@ferrylock/steering';
import {
  isWorthAskingAt,
  RetryBudget,
  ServiceGate,
  slotLimitKey,
  ShiftLimiter,
  SlotBook,
  TargetSet,
} from '@ferrylock/steering';
import type { Clock, Random } from '@ferrylock/utils';

const MILLISECONDS_PER_SECOND = 1_000;
/** When a caller may ask again of a service whose targets are closed for another reason than their own word. */
const CLOSED_SECONDS = 1;

export interface ServiceRuntimeOptions {
  readonly account: string;
  readonly service: string;
  readonly entryPlace: Place;
  readonly ledger: AllotmentLedger;
  readonly slotLoans: SlotLoans;
  readonly clock: Clock;
  readonly random: Random;
}

/** What a change of its account's configuration brings to a service. */
export interface ServiceUpdate {
  readonly declaration: Declaration;
  readonly drains: readonly Drain[];
  readonly distances: DistanceMap;
  readonly links: LinkLimits;
}

/** One service as this daemon serves it: its targets, its slots, and who waits for them. */
export class ServiceRuntime implements SlotBorrower {
  readonly account: string;
  readonly service: string;
  readonly targets: TargetSet;
  readonly gate: ServiceGate;
  readonly retries: RetryBudget;
  readonly shifts: ShiftLimiter;
  readonly #options: ServiceRuntimeOptions;
  readonly #book: SlotBook;
  #declaration: ServiceDeclaration;
  #links: LinkLimits;
  #distances: DistanceMap;

  constructor(options: ServiceRuntimeOptions, update: ServiceUpdate) {
    const { account, service, entryPlace, ledger, clock, random } = options;
    this.#options = options;
    this.account = account;
    this.service = service;
    this.targets = new TargetSet(account, service);
    this.#book = new SlotBook(
      { targets: this.targets, allotment: ledger, entryPlace, clock, random },
      update.distances,
    );
    this.gate = new ServiceGate({
      book: this.#book,
      clock,
      hasOpenTarget: () => this.targets.open(clock.now()).length > 0,
      opensInSeconds: () => opensInSeconds(this.targets.waitMilliseconds(clock.now())),
      onShortage: () => {
        options.slotLoans.want(account, service);
      },
      onUnused: (target) => {
        options.slotLoans.slotFreed(this, target.name, this.#book.unusedSlots(target));
      },
    });
    this.retries = new RetryBudget(clock);
    this.shifts = new ShiftLimiter(clock, shiftCap(update.declaration, service));
    this.#declaration = declared(update.declaration, service);
    this.#links = update.links;
    this.#distances = update.distances;
    this.update(update);
  }

  get declaration(): ServiceDeclaration {
    return this.#declaration;
  }

  get links(): LinkLimits {
    return this.#links;
  }

  get waiting(): number {
    return this.gate.waiting;
  }

  get longestDeadlineMilliseconds(): number {
    return this.#declaration.deadlineMilliseconds;
  }

  /** Takes up a new declaration; what was observed of targets that stay is kept. */
  update({ declaration, drains, distances, links }: ServiceUpdate): void {
    this.#declaration = declared(declaration, this.service);
    this.#links = links;
    this.shifts.percentPerSecond = shiftCap(declaration, this.service);
    this.#distances = distances;
    this.#book.setDistances(distances);
    this.targets.update(declaration, drains, distances, this.#options.clock.now());
    this.#options.slotLoans.add(this);
    this.gate.pump();
  }

  /** What all daemons divide between them: the slots of each target, and the requests a second that it may name. */
  dividedLimits(): DividedLimit[] {
    return this.targets.all().flatMap(({ limitKey, namedLimitKey, name, place }) => [
      { key: limitKey, units: this.targets.slotsOf(name), place: place.region },
      { key: namedLimitKey, units: RATE_UNITS, place: place.region },
    ]);
  }

  limitKey(target: string): string {
    return slotLimitKey(this.account, this.service, target);
  }

  isWorthAsking(place: Place): boolean {
    const delay = this.#distances.milliseconds(this.#options.entryPlace, place);
    return isWorthAskingAt(this.gate, place.region === this.#options.entryPlace.region, delay);
  }

  /** Whether no target has more of this daemon's work than slots that it may use now. */
  usageFits(): boolean {
    return this.targets
      .all()
      .every((target) => target.inFlight <= this.#options.ledger.usable(target.limitKey));
  }

  spareSlots(): readonly { readonly target: string; readonly units: number }[] {
    return this.#book.spareSlots(this.#options.clock.now() + this.longestDeadlineMilliseconds);
  }

  unusedSlots(target: string): number {
    const found = this.targets.get(target);
    return found === undefined ? 0 : this.#book.unusedSlots(found);
  }

  slotsArrived(): void {
    this.gate.pump();
  }
}

/** Callers are told whole seconds, and not to come before a target wants work. */
function opensInSeconds(waitMilliseconds: number | undefined): number {
  return waitMilliseconds === undefined
    ? CLOSED_SECONDS
    : Math.ceil(waitMilliseconds / MILLISECONDS_PER_SECOND);
}

/** The cap on how fast the service's traffic may move; the lowest where several are declared. */
function shiftCap(declaration: Declaration, service: string): number | undefined {
  const caps = Object.values(declaration.shifts)
    .filter((shift) => shift.service === service)
    .map((shift) => shift.percentPerSecond);
  return caps.length === 0 ? undefined : Math.min(...caps);
}

function declared(declaration: Declaration, service: string): ServiceDeclaration {
  const found = declaration.services[service];
  if (found === undefined) {
    throw new Error(`service ${service} is not declared`);
  }
  return found;
}
