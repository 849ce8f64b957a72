import type { DeclarationInput, RepeatClass } from '@ferrylock/schema';

/** A service of one of the two client accounts, at its size of today. */
export interface ServiceSize {
  readonly name: string;
  readonly repeat: RepeatClass;
  readonly priority: number;
  readonly targets: number;
  readonly slots: number;
  readonly deadlineMilliseconds: number;
}

/** One of the two client accounts that ferrylock is first built for. */
export interface AccountSize {
  readonly account: string;
  readonly regions: readonly string[];
  readonly domainsPerRegion: number;
  readonly betweenDomainsMilliseconds: number;
  readonly betweenRegionsMilliseconds: number;
  readonly services: readonly ServiceSize[];
}

export const skovlund: AccountSize = {
  account: 'skovlund',
  regions: ['jylland', 'sjaelland', 'fyn'],
  domainsPerRegion: 2,
  betweenDomainsMilliseconds: 1,
  betweenRegionsMilliseconds: 10,
  services: [
    {
      name: 'verdict-api',
      repeat: 'free',
      priority: 1,
      targets: 20,
      slots: 6,
      deadlineMilliseconds: 2_000,
    },
    {
      name: 'sorter-gate',
      repeat: 'never',
      priority: 0,
      targets: 15,
      slots: 6,
      deadlineMilliseconds: 2_000,
    },
    {
      name: 'image-intake',
      repeat: 'wholeUpload',
      priority: 5,
      targets: 10,
      slots: 3,
      deadlineMilliseconds: 30_000,
    },
  ],
};

export const atec: AccountSize = {
  account: 'atec',
  regions: ['muntenia', 'transilvania', 'moldova'],
  domainsPerRegion: 2,
  betweenDomainsMilliseconds: 0.5,
  betweenRegionsMilliseconds: 35,
  services: [
    {
      name: 'quote-desk',
      repeat: 'free',
      priority: 3,
      targets: 20,
      slots: 6,
      deadlineMilliseconds: 3_000,
    },
    {
      name: 'booking-desk',
      repeat: 'never',
      priority: 0,
      targets: 10,
      slots: 4,
      deadlineMilliseconds: 5_000,
    },
    {
      name: 'paper-dock',
      repeat: 'wholeUpload',
      priority: 5,
      targets: 10,
      slots: 3,
      deadlineMilliseconds: 30_000,
    },
  ],
};

/** The failure domains of an account with their regions. */
export function failureDomainsOf(size: AccountSize): { name: string; region: string }[] {
  return size.regions.flatMap((region) =>
    Array.from({ length: size.domainsPerRegion }, (_, index) => ({
      name: `${region}-${index + 1}`,
      region,
    })),
  );
}

/** Where a target of a service runs: its address and port. */
export type TargetLocator = (service: string, index: number) => { address: string; port: number };

/** An account's declaration at its size of today. */
export function makeDeclaration(size: AccountSize, locate: TargetLocator): DeclarationInput {
  const domains = failureDomainsOf(size);
  const delays: Record<string, { from: string; to: string; milliseconds: number }> = {};
  size.regions.forEach((from, index) => {
    delays[`within-${from}`] = { from, to: from, milliseconds: size.betweenDomainsMilliseconds };
    for (const to of size.regions.slice(index + 1)) {
      delays[`${from}-${to}`] = { from, to, milliseconds: size.betweenRegionsMilliseconds };
    }
  });
  return {
    account: size.account,
    failureDomains: Object.fromEntries(domains.map(({ name, region }) => [name, { region }])),
    delays,
    services: Object.fromEntries(
      size.services.map((service) => [service.name, makeService(service, domains, locate)]),
    ),
    clientBlocks: Object.fromEntries(
      domains.map(({ name }, index) => [
        `clients-${name}`,
        { cidr: `10.${index + 1}.0.0/16`, place: name },
      ]),
    ),
  };
}

function makeService(
  size: ServiceSize,
  domains: readonly { name: string }[],
  locate: TargetLocator,
): NonNullable<DeclarationInput['services']>[string] {
  const targets = Array.from({ length: size.targets }, (_, index) => {
    const name = `${size.name}-${String(index + 1).padStart(2, '0')}`;
    const failureDomain = domains[index % domains.length]?.name ?? '';
    return [name, { ...locate(size.name, index), slots: size.slots, failureDomain }] as const;
  });
  return {
    repeat: size.repeat,
    priority: size.priority,
    deadlineMilliseconds: size.deadlineMilliseconds,
    probePath: '/health',
    targets: Object.fromEntries(targets),
  };
}
