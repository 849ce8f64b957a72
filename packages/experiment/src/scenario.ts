import type { FieldProblem } from '@ferrylock/schema';
import { numberField, parseFields, wholeNumberField } from '@ferrylock/schema';
import { parse } from 'ini';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';

const MOST_MILLISECONDS = 600_000;
const milliseconds = numberField(0, MOST_MILLISECONDS);
const share = numberField(0, 1);

const deploymentSchema = z.strictObject({
  hosts: wholeNumberField(1, 10_000),
  seconds: numberField(1, 3_600),
  /** One way. */
  inRegionMilliseconds: milliseconds,
  betweenRegionsMilliseconds: milliseconds,
  toCallersMilliseconds: milliseconds,
  /** Time between two reports of a host, and the oldest that one is when it counts. */
  reportMilliseconds: numberField(10, MOST_MILLISECONDS).default(200),
  /** Part of a region's requests that may change their region within two seconds. */
  mostShiftShare: share.default(0.15),
});

const regionSchema = z.strictObject({
  requestsPerSecond: numberField(0, 1_000_000),
  /** Demand swings around its mean by this part, in so many seconds, beginning so far into it. */
  swing: share.default(0),
  periodSeconds: numberField(1, 3_600).default(36),
  phase: share.default(0),
});

const serviceSchema = z.strictObject({
  slots: wholeNumberField(1, 1_000),
  /** Objects that a target holds; the least recently used goes first. */
  holds: wholeNumberField(1, 1_000_000),
  /** Requests waiting for each slot beyond which a target refuses. */
  queuePerSlot: numberField(0, 1_000).default(3),
  coldMilliseconds: milliseconds.default(3_000),
  coldFactor: numberField(1, 100).default(2),
  coldRequestsPerSecond: numberField(1, 1_000_000).default(10),
  /** Targets in each region. */
  targets: z.record(z.string(), wholeNumberField(0, 10_000)),
});

const classSchema = z.strictObject({
  service: z.string().min(1),
  /** Requests of this class relative to the shares of all. */
  share: numberField(0, 1_000),
  objects: wholeNumberField(1, 10_000_000),
  knownMilliseconds: milliseconds,
  unknownMilliseconds: milliseconds,
  /** Relative standard deviation of the time of work. */
  spread: share.default(0.15),
  objectiveMilliseconds: milliseconds,
  timeoutMilliseconds: milliseconds,
  deadlineMilliseconds: milliseconds,
  priority: wholeNumberField(0, 100).default(0),
  worth: numberField(0, 1_000).default(1),
  lateWorth: numberField(0, 1_000).default(0.2),
  repeatable: z
    .enum(['yes', 'no'])
    .default('yes')
    .transform((text) => text === 'yes'),
});

/** What happens to a deployment; `region` narrows it to targets there, `service` to that service. */
const eventSchema = z.strictObject({
  kind: z.enum([
    'burst',
    'cold-return',
    'slow',
    'shedding',
    'resting',
    'lost',
    'evacuation',
    'host-restart',
  ]),
  atSeconds: numberField(0, 3_600),
  forSeconds: numberField(0, 3_600).default(4),
  region: z.string().optional(),
  service: z.string().optional(),
  /** Part of the targets, or hosts, that it strikes. */
  share: share.default(1),
  /**
   * How many times as much or as slow; for `shedding`, the part that is refused; for `resting`, the requests for each slot from
   * which a target refuses.
   */
  factor: numberField(0, 1_000).default(2),
  /** For `resting`: how long a target wants nothing from a host that it refused. */
  restMilliseconds: milliseconds.default(3_000),
  /** For `resting`: the one host that is refused; all where none is named. */
  host: z.string().optional(),
});

/** A deployment, its callers, and what happens to it. */
export const scenarioSchema = z
  .strictObject({
    deployment: deploymentSchema,
    regions: z.record(z.string(), regionSchema),
    services: z.record(z.string(), serviceSchema),
    classes: z.record(z.string(), classSchema),
    events: z.record(z.string(), eventSchema).default({}),
  })
  .superRefine(({ regions, services, classes }, context) => {
    for (const [name, { service }] of Object.entries(classes)) {
      if (!Object.hasOwn(services, service)) {
        const message = `expected a service with a section [services.NAME], got "${service}"`;
        context.addIssue({ code: 'custom', path: ['classes', name, 'service'], message });
      }
    }
    for (const [name, { targets }] of Object.entries(services)) {
      for (const region of Object.keys(targets)) {
        if (!Object.hasOwn(regions, region)) {
          const message = `expected a region with a section [regions.NAME], got "${region}"`;
          context.addIssue({ code: 'custom', path: ['services', name, 'targets'], message });
        }
      }
    }
  });

export type Scenario = z.output<typeof scenarioSchema>;
export type RequestClass = Scenario['classes'][string];
export type EmulatedService = Scenario['services'][string];
export type ScenarioEvent = Scenario['events'][string];

/** Reads a scenario from an INI file's text and names every fault at once. */
export function parseScenario(text: string): Result<Scenario, FieldProblem[]> {
  const document = JSON.parse(JSON.stringify(parse(text))) as unknown;
  return parseFields(scenarioSchema, document);
}

/** The same deployment with another number of hosts: targets, objects and requests in proportion. */
export function withHosts(scenario: Scenario, hosts: number): Result<Scenario, string> {
  if (!Number.isInteger(hosts) || hosts < 1) {
    return Err(`hosts: expected a whole number from 1, got ${hosts}`);
  }
  const factor = hosts / scenario.deployment.hosts;
  return Ok({
    ...scenario,
    deployment: { ...scenario.deployment, hosts },
    regions: mapValues(scenario.regions, (region) => ({
      ...region,
      requestsPerSecond: region.requestsPerSecond * factor,
    })),
    services: mapValues(scenario.services, (service) => ({
      ...service,
      targets: mapValues(service.targets, (count) => Math.max(1, Math.round(count * factor))),
    })),
    classes: mapValues(scenario.classes, (requestClass) => ({
      ...requestClass,
      objects: Math.max(1, Math.round(requestClass.objects * factor)),
    })),
  });
}

function mapValues<Value, Result>(
  record: Readonly<Record<string, Value>>,
  map: (value: Value) => Result,
): Record<string, Result> {
  return Object.fromEntries(Object.entries(record).map(([name, value]) => [name, map(value)]));
}
