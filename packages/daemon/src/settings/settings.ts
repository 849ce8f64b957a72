import { positionLayoutSchema } from '@ferrylock/control';
import type { PositionLayout } from '@ferrylock/control';
import type { FieldProblem } from '@ferrylock/schema';
import { numberField, parseFields, wholeNumberField } from '@ferrylock/schema';
import { parse } from 'ini';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';

/** Text such as 127.0.0.1:8080 or [::1]:8080. Port 0 takes any free one. */
const listenAddressSchema = z
  .string()
  .regex(/^(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected IP-NUMBER:PORT');

const urlSchema = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });

function oneOrMore<Item extends z.ZodType>(item: Item) {
  return z.preprocess(
    (value) => (value === undefined || Array.isArray(value) ? value : [value]),
    z.array(item).min(1),
  );
}

/** Every setting of a daemon, with its unit, bounds and default. */
export const settingsSchema = z.strictObject({
  host: z
    .strictObject({
      id: z.string().min(1).max(100).describe('Name of this host, unique in the deployment.'),
      region: z.string().min(1).describe('Region that this host stands in.'),
      failureDomain: z.string().min(1).describe('Failure domain that this host stands in.'),
    })
    .describe('Who this daemon is.'),
  listen: z
    .strictObject({
      traffic: listenAddressSchema.describe('Where callers connect.'),
      control: listenAddressSchema.describe('Where operators and other daemons connect.'),
    })
    .describe('Addresses to listen on.'),
  platform: z
    .strictObject({
      store: oneOrMore(urlSchema).describe(
        'Endpoints of the key-value service (etcd v3 JSON), one or more.',
      ),
      hostList: urlSchema.describe('Where the host list is found.'),
      storeTimeoutMilliseconds: wholeNumberField(10, 60_000)
        .default(2_000)
        .describe('Time after which a call to the key-value service has failed.'),
    })
    .describe('The platform’s services.'),
  positions: z
    .record(
      z.string(),
      z.strictObject({
        region: z.string().min(1),
        count: wholeNumberField(1, 1_000),
      }),
    )
    .refine((domains) => Object.keys(domains).length > 0, 'expected at least one failure domain')
    .describe('Parts that every limit is divided into, by failure domain; one for each host.'),
  limits: z
    .strictObject({
      groupBy: positionLayoutSchema.shape.groupBy
        .default('all')
        .describe('Which positions are looked after together: all, region or failureDomain.'),
    })
    .prefault({})
    .describe('How limits are divided.'),
  lookup: z
    .strictObject({
      lifetimeSeconds: wholeNumberField(1, 3_600)
        .default(10)
        .describe('How long callers may use an answer.'),
      hostsInAnswer: wholeNumberField(1, 32)
        .default(4)
        .describe('Entry hosts named in one answer.'),
    })
    .prefault({})
    .describe('Answers to look-ups.'),
  operators: z
    .strictObject({
      keys: z
        .string()
        .optional()
        .describe('File with the JSON Web Key Set that operators’ tokens are signed with.'),
      allowAnonymous: z
        .boolean()
        .default(false)
        .describe('Lets operators’ calls pass without a token. For trials on one machine.'),
    })
    .prefault({})
    .describe('Who may make operators’ calls. Without keys no one may.'),
  memory: z
    .strictObject({
      smallBodyBytes: wholeNumberField(0, 16 * 1024 * 1024)
        .default(64 * 1024)
        .describe('Largest request body that is held whole, so that it can be sent again.'),
      requestsInFlight: wholeNumberField(1, 1_000_000)
        .default(10_000)
        .describe('Requests of all accounts that this daemon holds at a time.'),
      keysPerAccount: wholeNumberField(1, 100_000_000)
        .default(262_144)
        .describe('Keys for work that must not repeat held for one account, one byte each.'),
    })
    .prefault({})
    .describe('Bounds on memory.'),
  stop: z
    .strictObject({
      deadlineSeconds: numberField(0, 86_400)
        .default(60)
        .describe('Longest that a planned stop waits for work in flight.'),
    })
    .prefault({})
    .describe('Planned stops.'),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
      requests: z
        .enum(['all', 'refused', 'none'])
        .default('refused')
        .describe('Which requests get a line of their own.'),
    })
    .prefault({})
    .describe('Log lines on standard error.'),
});
export type Settings = z.infer<typeof settingsSchema>;
export type SettingsInput = z.input<typeof settingsSchema>;

/** Reads settings from an INI file's text and names every fault at once. */
export function parseSettings(text: string): Result<Settings, FieldProblem[]> {
  const document = JSON.parse(JSON.stringify(parse(text))) as unknown;
  const parsed = parseFields(settingsSchema, document);
  return parsed.isOk() ? checkOwnDomain(parsed.value) : Err(withValues(parsed.error, document));
}

/** The division of limits that the settings describe. */
export function layoutOf(settings: Settings): PositionLayout {
  return {
    groupBy: settings.limits.groupBy,
    domains: Object.entries(settings.positions)
      .map(([failureDomain, { region, count }]) => ({ failureDomain, region, count }))
      .sort((a, b) => (a.failureDomain < b.failureDomain ? -1 : 1)),
  };
}

function checkOwnDomain(settings: Settings): Result<Settings, FieldProblem[]> {
  return parseFields(
    z
      .custom<Settings>()
      .refine((value) => Object.hasOwn(value.positions, value.host.failureDomain), {
        path: ['host', 'failureDomain'],
        error: `expected a failure domain with a section [positions.NAME], got "${settings.host.failureDomain}"`,
      }),
    settings,
  );
}

/** Adds to each fault the value that was found. */
function withValues(problems: readonly FieldProblem[], document: unknown): FieldProblem[] {
  return problems.map((problem) => {
    const value = problem.field
      .split('.')
      .reduce<unknown>(
        (inner, key) =>
          typeof inner === 'object' && inner !== null
            ? (inner as Record<string, unknown>)[key]
            : undefined,
        document,
      );
    const found = value === undefined ? 'nothing is set' : `got ${JSON.stringify(value)}`;
    return { field: problem.field, message: `${problem.message} (${found})` };
  });
}
