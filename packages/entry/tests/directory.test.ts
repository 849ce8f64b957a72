import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { Directory } from '../src/directory.js';
import { FleetView } from '../src/index.js';
import { PeerTable, PEER_TIMEOUT_MILLISECONDS } from '../src/peers/peer-table.js';
import { hostChange, captureEvents } from './fixtures.js';

interface FleetOptions {
  readonly large?: number;
  readonly small?: number;
  readonly region?: string;
}

/** Hosts of one region, all of them heard; names begin with `large` or `small`. */
function makeFleet({ large = 4, small = 20, region = 'jylland' }: FleetOptions = {}) {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const peers = new PeerTable(clock, log, () => undefined);
  const names = [
    ...Array.from({ length: large }, (_, index) => `large-${index}`),
    ...Array.from({ length: small }, (_, index) => `small-${index}`),
  ];
  view.replace(
    { revision: 1 },
    names.map((name) =>
      hostChange(1, {
        name,
        region,
        capacity: name.startsWith('large') ? 1.35 : 0.27,
        trafficAddress: name,
      }),
    ),
  );
  let sequence = 0;
  const report = (utilization: number, heard = names): void => {
    sequence++;
    for (const name of heard) {
      peers.update(
        { name, incarnation: 'first', sequence, leaving: false, utilization: utilization },
        'itself',
      );
    }
  };
  report(0.1);
  const directory = new Directory({
    view,
    peers,
    own: () => undefined,
    maxTtlMilliseconds: 5_000,
  });
  const told = (caller = region): string[] => [...directory.answer(caller).trafficAddresses];
  return { clock, peers, names, report, told };
}

describe('Directory', () => {
  it('tells the large hosts alone while they have room for all', () => {
    const { told } = makeFleet();
    expect(told()).toEqual(['large-0', 'large-1', 'large-2', 'large-3']);
  });

  it('tells all hosts from when the large ones would be too full, and keeps to it for a while', () => {
    const { told, report, names } = makeFleet();
    report(0.4);
    expect(told()).toEqual(names);
    report(0.2);
    expect(told()).toEqual(names);
    report(0.1);
    expect(told()).toHaveLength(4);
    report(0.2);
    expect(told()).toHaveLength(4);
  });

  it('tells all hosts where too few are large', () => {
    const { told, names } = makeFleet({ large: 2, small: 5 });
    expect(told()).toEqual(names);
  });

  it('tells all hosts where all are alike', () => {
    const { told, names } = makeFleet({ large: 0, small: 4 });
    expect(told()).toEqual(names);
  });

  it('leaves out hosts that fell silent', async () => {
    const { clock, peers, told, report, names } = makeFleet();
    await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    report(
      0.1,
      names.filter((name) => name !== 'large-2'),
    );
    peers.sweep();
    expect(told()).toEqual(['large-0', 'large-1', 'large-3']);
  });

  it('sends callers elsewhere where their region has no host', () => {
    const { told } = makeFleet();
    expect(told('fyn')).toHaveLength(4);
  });
});
