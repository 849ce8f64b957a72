import { ControlFleet } from '@ferrylock/test-utils';

const SETTLE_MILLISECONDS = 15_000;
const MEASURED_SECONDS = 20;

/** What the daemons' dealings with one another and the store cost at one size, at rest. */
export interface FleetCosts {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly daemons: number;
  /** Calls that a daemon makes a second. */
  readonly callsPerSecond: number;
  /** Bytes that a daemon sends and receives a second, headers included. */
  readonly bytesPerSecond: number;
  /** Processor time a daemon and second in milliseconds, without that of HTTP. */
  readonly cpuMilliseconds: number;
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  readonly watches: number;
}

export interface FleetSize {
  readonly domains: number;
  readonly hostsPerDomain: number;
}

/** Starts a fleet of daemons' control parts on an in-memory network, ready to be measured. */
export function startFleet(
  { domains, hostsPerDomain }: FleetSize,
  seed: number,
): Promise<ControlFleet> {
  const groupBy = hostsPerDomain > 2 ? 'failureDomain' : 'all';
  return ControlFleet.start({ domains, hostsPerDomain, seed, groupBy }, SETTLE_MILLISECONDS);
}

/** Lets a fleet run for a while and takes its costs. */
export async function measureAtRest(fleet: ControlFleet, size: FleetSize): Promise<FleetCosts> {
  const daemons = fleet.nodes.length;
  const network = { ...fleet.network.counts };
  const store = { ...fleet.engine.calls };
  const cpuBefore = process.cpuUsage();
  await fleet.clock.advance(MEASURED_SECONDS * 1_000);
  const cpu = process.cpuUsage(cpuBefore);
  const each = daemons * MEASURED_SECONDS;
  return {
    ...size,
    daemons,
    callsPerSecond: (fleet.network.counts.calls - network.calls) / each,
    // Each byte is sent by one daemon and received by another.
    bytesPerSecond: (2 * (fleet.network.counts.bytes - network.bytes)) / each,
    cpuMilliseconds: (cpu.user + cpu.system) / 1_000 / each,
    storeReadsPerSecond: (fleet.engine.calls.reads - store.reads) / MEASURED_SECONDS,
    storeWritesPerSecond: (fleet.engine.calls.writes - store.writes) / MEASURED_SECONDS,
    watches: fleet.engine.watcherCount,
  };
}
