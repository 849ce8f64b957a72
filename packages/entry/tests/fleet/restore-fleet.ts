import type { EntryFleetOptions } from '@ferrylock/test-utils';
import { EntryFleet, FakeClock, makeTargetRecord } from '@ferrylock/test-utils';

const SETTLE_MILLISECONDS = 5_000;
const AWAY_MILLISECONDS = 1_500;
const SAMPLE_MILLISECONDS = 50;

export async function makeFleet(options: Partial<EntryFleetOptions> = {}) {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts: 12,
    domains: 6,
    largeHostsPerDomain: 2,
    targetsPerService: 6,
    services: 2,
    seed: 1,
    ...options,
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  fleet.configure(3);
  await clock.advance(1_000);
  return { clock, fleet };
}

export interface RestoreOptions {
  readonly clock: FakeClock;
  readonly fleet: EntryFleet;
  /** What is written after the copy was taken. */
  readonly since?: () => Promise<void> | void;
  readonly awayMilliseconds?: number;
  readonly isHistoryLost?: boolean;
}

/** The store goes away and comes back from a copy; the function given back has others write again what they had written. */
export async function restoreFromSnapshot({
  clock,
  fleet,
  since = () => undefined,
  awayMilliseconds = AWAY_MILLISECONDS,
  isHistoryLost = false,
}: RestoreOptions): Promise<() => void> {
  const copy = fleet.store.takeCopy();
  await since();
  await clock.advance(1_000);
  fleet.store.setAway(true);
  await clock.advance(awayMilliseconds);
  const writeAgain = fleet.store.restore(copy);
  if (isHistoryLost) {
    fleet.store.forgetHistory();
  }
  fleet.store.setAway(false);
  return writeAgain;
}

export function versions(fleet: EntryFleet): (number | undefined)[] {
  return fleet.hosts.map(({ member }) => member.state.active?.version);
}

export function allOf<T>(fleet: EntryFleet, value: T): T[] {
  return fleet.hosts.map(() => value);
}

/** Whether each host would send requests to a target. */
export function hostsUsing(fleet: EntryFleet, id: string): string[] {
  return fleet.hosts
    .filter(({ member }) => {
      const target = member.state.serviceOfTarget(id)?.targets.get(id);
      return target !== undefined && !target.leaving;
    })
    .map(({ record }) => record.name);
}

/** Looks at something again and again for a time. */
export async function collectSamples<T>(
  clock: FakeClock,
  milliseconds: number,
  sample: () => T,
): Promise<T[]> {
  const samples: T[] = [];
  for (let at = 0; at < milliseconds; at += SAMPLE_MILLISECONDS) {
    await clock.advance(SAMPLE_MILLISECONDS);
    samples.push(sample());
  }
  return samples;
}

export function putTarget(
  fleet: EntryFleet,
  id: string,
  state: 'ready' | 'draining',
  sequence: number,
) {
  const target = makeTargetRecord({
    id,
    service: 'service-0',
    failureDomain: 'domain-0',
    bornAt: 1_700_000_000_000,
    sequence,
    state,
  });
  fleet.store.put(`targets/${id}`, { kind: 'target', target });
}

/** The store comes back with a target as ready that said since the copy that it leaves, and whose record had gone by then or not. */
export async function restoreWithLeavingTarget({ isGone }: { readonly isGone: boolean }) {
  const { clock, fleet } = await makeFleet();
  putTarget(fleet, 'leaver', 'ready', 1);
  await clock.advance(1_000);
  const since = async (): Promise<void> => {
    putTarget(fleet, 'leaver', 'draining', 9);
    await clock.advance(2_500);
    if (isGone) {
      fleet.store.remove('targets/leaver');
    }
  };
  await restoreFromSnapshot({ clock, fleet, since });
  return { clock, fleet };
}
