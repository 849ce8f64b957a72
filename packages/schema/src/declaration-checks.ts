import type { RefinementCtx } from 'zod';
import type { ClientBlock } from './client-block.js';
import { parseClientBlock, prefixKey } from './client-block.js';

/** The parts of a declaration that refer to one another. */
interface CheckedDeclaration {
  readonly failureDomains: Readonly<Record<string, { readonly region: string }>>;
  readonly delays: Readonly<Record<string, { readonly from: string; readonly to: string }>>;
  readonly services: Readonly<
    Record<
      string,
      {
        readonly hostNames: readonly string[];
        readonly targets: Readonly<Record<string, { readonly failureDomain: string }>>;
      }
    >
  >;
  readonly links: Readonly<Record<string, { readonly from: string; readonly to: string }>>;
  readonly shifts: Readonly<Record<string, { readonly service: string }>>;
  readonly headroom: Readonly<Record<string, { readonly region: string }>>;
  readonly clientBlocks: Readonly<
    Record<
      string,
      { readonly cidr: string; readonly place: string; readonly within?: string | undefined }
    >
  >;
}

interface ParsedBlock {
  readonly name: string;
  readonly within: string | undefined;
  readonly block: ClientBlock;
}

type Path = readonly string[];

/** Checks that span several fields: every name that is used is declared, no blocks overlap. */
export function checkDeclaration(declaration: CheckedDeclaration, context: RefinementCtx): void {
  const report = (path: Path, message: string): void => {
    context.addIssue({ code: 'custom', path: [...path], message });
  };
  checkPlaces(declaration, report);
  checkHostNames(declaration, report);
  checkClientBlocks(declaration, report);
}

type Report = (path: Path, message: string) => void;

function checkPlaces(declaration: CheckedDeclaration, report: Report): void {
  const domains = new Set(Object.keys(declaration.failureDomains));
  const regions = new Set(Object.values(declaration.failureDomains).map((domain) => domain.region));
  const requirePlace = (path: Path, place: string): void => {
    if (!domains.has(place) && !regions.has(place)) {
      report(path, `expected a declared failure domain or region, got "${place}"`);
    }
  };
  for (const [name, service] of Object.entries(declaration.services)) {
    for (const [targetName, target] of Object.entries(service.targets)) {
      if (!domains.has(target.failureDomain)) {
        report(
          ['services', name, 'targets', targetName, 'failureDomain'],
          `expected a declared failure domain, got "${target.failureDomain}"`,
        );
      }
    }
  }
  for (const group of ['links', 'delays'] as const) {
    for (const [name, pair] of Object.entries(declaration[group])) {
      requirePlace([group, name, 'from'], pair.from);
      requirePlace([group, name, 'to'], pair.to);
    }
  }
  for (const [name, shift] of Object.entries(declaration.shifts)) {
    if (!Object.hasOwn(declaration.services, shift.service)) {
      report(['shifts', name, 'service'], `expected a declared service, got "${shift.service}"`);
    }
  }
  for (const [name, headroom] of Object.entries(declaration.headroom)) {
    if (!regions.has(headroom.region)) {
      report(['headroom', name, 'region'], `expected a declared region, got "${headroom.region}"`);
    }
  }
  for (const [name, block] of Object.entries(declaration.clientBlocks)) {
    requirePlace(['clientBlocks', name, 'place'], block.place);
  }
}

function checkHostNames(declaration: CheckedDeclaration, report: Report): void {
  const owners = new Map<string, string>();
  for (const [name, service] of Object.entries(declaration.services)) {
    for (const hostName of service.hostNames) {
      const owner = owners.get(hostName);
      if (owner !== undefined) {
        report(
          ['services', name, 'hostNames'],
          `host name "${hostName}" already belongs to service "${owner}"`,
        );
      }
      owners.set(hostName, name);
    }
  }
}

function checkClientBlocks(declaration: CheckedDeclaration, report: Report): void {
  const byPrefix = new Map<string, ParsedBlock>();
  const parsedBlocks: ParsedBlock[] = [];
  for (const [name, { cidr, within }] of Object.entries(declaration.clientBlocks)) {
    const parsed = parseClientBlock(cidr);
    if (parsed.isErr()) {
      report(['clientBlocks', name, 'cidr'], parsed.error);
      continue;
    }
    const block = parsed.value;
    const key = prefixKey(block, block.prefixLength);
    const same = byPrefix.get(key);
    if (same !== undefined) {
      report(['clientBlocks', name, 'cidr'], `block ${cidr} stands already as "${same.name}"`);
      continue;
    }
    const entry = { name, within, block };
    byPrefix.set(key, entry);
    parsedBlocks.push(entry);
  }
  for (const entry of parsedBlocks) {
    checkNesting(entry, byPrefix, report);
  }
}

function checkNesting(
  entry: ParsedBlock,
  byPrefix: ReadonlyMap<string, ParsedBlock>,
  report: Report,
): void {
  const outer = nearestOuterBlock(entry.block, byPrefix);
  if (outer?.name === entry.within) {
    return;
  }
  const message =
    outer === undefined
      ? `expected a block that holds this one, got "${entry.within ?? ''}"`
      : `overlaps block "${outer.name}"; if that is meant, set within = ${outer.name}`;
  report(['clientBlocks', entry.name, 'within'], message);
}

function nearestOuterBlock(
  block: ClientBlock,
  byPrefix: ReadonlyMap<string, ParsedBlock>,
): ParsedBlock | undefined {
  for (let length = block.prefixLength - 1; length >= 0; length--) {
    const outer = byPrefix.get(prefixKey(block, length));
    if (outer !== undefined) {
      return outer;
    }
  }
  return undefined;
}
