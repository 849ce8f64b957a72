import type { EntryFleetOptions } from '@ferrylock/test-utils';
import { EntryFleet, FakeClock, makeTargetRecord } from '@ferrylock/test-utils';

const SETTLE_MILLISECONDS = 5_000;
const OUTAGE_MILLISECONDS = 1_500;
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
  /** Writes to the store after the snapshot was taken. */
  readonly afterSnapshot?: () => Promise<void> | void;
  readonly outageMilliseconds?: number;
  readonly isHistoryLost?: boolean;
}

/** Restores the store after an outage; the returned function rewrites the lost records. */
export async function restoreFromSnapshot({
  clock,
  fleet,
  afterSnapshot = () => undefined,
  outageMilliseconds = OUTAGE_MILLISECONDS,
  isHistoryLost = false,
}: RestoreOptions): Promise<() => void> {
  const snapshot = fleet.store.takeCopy();
  await afterSnapshot();
  await clock.advance(1_000);
  fleet.store.setAway(true);
  await clock.advance(outageMilliseconds);
  const rewrite = fleet.store.restore(snapshot);
  if (isHistoryLost) {
    fleet.store.forgetHistory();
  }
  fleet.store.setAway(false);
  return rewrite;
}

export function versions(fleet: EntryFleet): (number | undefined)[] {
  return fleet.hosts.map(({ member }) => member.state.active?.version);
}

export function allOf<T>(fleet: EntryFleet, value: T): T[] {
  return fleet.hosts.map(() => value);
}

/** Names of the hosts that would send requests to a target. */
export function hostsUsing(fleet: EntryFleet, id: string): string[] {
  return fleet.hosts
    .filter(({ member }) => {
      const target = member.state.serviceOfTarget(id)?.targets.get(id);
      return target !== undefined && !target.leaving;
    })
    .map(({ record }) => record.name);
}

/** Takes samples at a fixed interval. */
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

/** Restores a snapshot in which a target is ready that has announced its leaving afterwards. */
export async function restoreWithLeavingTarget({ isDeleted }: { readonly isDeleted: boolean }) {
  const { clock, fleet } = await makeFleet();
  putTarget(fleet, 'leaver', 'ready', 1);
  await clock.advance(1_000);
  const afterSnapshot = async (): Promise<void> => {
    putTarget(fleet, 'leaver', 'draining', 9);
    await clock.advance(2_500);
    if (isDeleted) {
      fleet.store.remove('targets/leaver');
    }
  };
  await restoreFromSnapshot({ clock, fleet, afterSnapshot });
  return { clock, fleet };
}
