import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import type { TargetState } from '@ferrylock/routing';
import { describe, expect, it } from 'vitest';
import { FleetView } from '../../src/index.js';
import type { ConnectionCheck } from '../../src/reachability/check-connection.js';
import { TargetReachability } from '../../src/reachability/target-reachability.js';
import { captureEvents, configurationChange, makeRoutingState, targetChange } from '../fixtures.js';

const SWEEP_MILLISECONDS = 200;
const CONNECT_TIMEOUT_MILLISECONDS = 300;
const DOMAINS = ['aarhus-hal', 'herning-hal', 'odense-hal'];
const SERVICES = ['verdict-api', 'sorter-gate'];

/** Makes a host with two targets of each service in each of three failure domains. */
function makeHost({ domains = DOMAINS }: { domains?: readonly string[] } = {}) {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const view = new FleetView();
  const state = makeRoutingState(clock, view, log);
  const targets = domains.flatMap((failureDomain) =>
    SERVICES.flatMap((service) =>
      [0, 1].map((index) => {
        const id = `${service}-${failureDomain}-${index}`;
        return targetChange(1, { id, service, failureDomain, address: id });
      }),
    ),
  );
  view.replace({ revision: 1 }, [configurationChange(1), ...targets]);
  /** Outcome of a connection to an address; by default it is accepted. */
  const broken = new Map<string, ConnectionCheck>();
  const attempts: string[] = [];
  /** Addresses to which an idle connection is open. */
  const idle = new Set<string>();
  const changes: boolean[] = [];
  const checkConnection = async (address: string): Promise<ConnectionCheck> => {
    attempts.push(address);
    const outcome = broken.get(address) ?? 'taken';
    await clock.sleep(outcome === 'unknown' ? CONNECT_TIMEOUT_MILLISECONDS : 1);
    return outcome;
  };
  const reachability: TargetReachability = new TargetReachability({
    clock,
    random: new SeededRandom(1),
    events: log,
    services: () => state.services,
    checkConnection,
    peersServing: () => 5,
    hasIdleConnection: (address) => idle.has(address),
    onChange: () => {
      changes.push(reachability.reachesNone);
    },
  });
  const all = [...state.services].flatMap((service) => [...service.targets.values()]);
  const inDomain = (domain: string): TargetState[] =>
    all.filter(({ record }) => record.failureDomain === domain);
  const setBroken = (outcome: ConnectionCheck, broke: readonly TargetState[] = all): void => {
    for (const { record } of broke) {
      broken.set(record.address, outcome);
    }
  };
  const sweepFor = async (milliseconds: number): Promise<void> => {
    for (let passed = 0; passed < milliseconds; passed += SWEEP_MILLISECONDS) {
      await clock.advance(SWEEP_MILLISECONDS);
      reachability.sweep();
    }
  };
  const answer = (target: TargetState): void => {
    reachability.recordSend(target);
    reachability.recordAnswer(target);
    reachability.recordEnd(target);
  };
  const eventsOf = (name: string) => events.filter(({ event }) => event === name);
  const context = { clock, all, broken, attempts, idle, changes, reachability };
  return { ...context, inDomain, setBroken, sweepFor, answer, eventsOf };
}

describe('TargetReachability', () => {
  it('logs one line, with the evidence, when the host begins to reach no target', async () => {
    const host = makeHost();
    host.all.forEach(host.answer);
    host.setBroken('unknown');
    host.all.forEach((target) => {
      host.reachability.recordSend(target);
    });
    await host.sweepFor(2_000);
    expect(host.reachability.reachesNone).toBe(true);
    expect(host.changes).toEqual([true]);
    expect(host.eventsOf('reachability')).toEqual([
      expect.objectContaining({
        reachesNone: true,
        unreachable: DOMAINS,
        failureDomains: 3,
        peersServing: 5,
      }),
    ]);
    expect(host.eventsOf('domain-reachability')).toHaveLength(3);
    expect(host.eventsOf('domain-reachability')[0]).toMatchObject({
      isReachable: false,
      checks: new Array(3).fill(expect.objectContaining({ connection: 'unknown' })),
    });
  });

  it('believes it within a second and a half of silence, and at once counts how long', async () => {
    const host = makeHost();
    host.all.forEach(host.answer);
    host.setBroken('unknown');
    host.all.forEach((target) => {
      host.reachability.recordSend(target);
    });
    await host.sweepFor(1_400);
    expect(host.reachability.reachesNone).toBe(true);
    expect(host.reachability.unreachableMilliseconds).toBeGreaterThan(500);
  });

  it.each(['refused', 'unknown'] as const)(
    'concludes from one failed connection that all paths are gone: %s',
    async (outcome) => {
      const host = makeHost();
      host.all.forEach(host.answer);
      host.setBroken(outcome);
      const [target] = host.all;
      if (target !== undefined) {
        host.reachability.recordConnectFailure(target);
      }
      await host.sweepFor(2_000);
      expect(host.reachability.reachesNone).toBe(true);
    },
  );

  it('logs the end, and believes it within a second after the paths are whole', async () => {
    const host = makeHost();
    host.setBroken('refused');
    host.all.forEach((target) => {
      host.reachability.recordConnectFailure(target);
    });
    await host.sweepFor(3_000);
    expect(host.reachability.reachesNone).toBe(true);
    host.broken.clear();
    await host.sweepFor(1_000);
    expect(host.reachability.unreachableDomains).toEqual([]);
    expect(host.changes).toEqual([true, false]);
    expect(host.eventsOf('reachability').at(-1)).toMatchObject({
      reachesNone: false,
      unreachable: [],
    });
    expect(host.eventsOf('domain-reachability').at(-1)).toMatchObject({ isReachable: true });
  });

  it('uses open connections while targets answer on them, though new ones fail', async () => {
    const host = makeHost();
    const [first, second] = host.all;
    if (first === undefined || second === undefined) {
      throw new Error('expected two targets');
    }
    host.setBroken('unknown');
    host.idle.add(first.record.address);
    host.reachability.recordConnectFailure(second);
    for (let round = 0; round < 20; round++) {
      host.all.forEach(host.answer);
      await host.sweepFor(SWEEP_MILLISECONDS);
    }
    expect(host.reachability.unreachableDomains).toContain(first.record.failureDomain);
    expect(host.reachability.isReachable(first)).toBe(true);
    expect(host.reachability.isReachable(second)).toBe(false);
    expect(host.reachability.reachesNone).toBe(false);
    await host.sweepFor(2_000);
    expect(host.reachability.isReachable(first)).toBe(false);
    expect(host.reachability.reachesNone).toBe(true);
  });

  it('tells a failure domain that is away from a host that is cut off', async () => {
    const host = makeHost();
    host.all.forEach(host.answer);
    host.setBroken('unknown', host.inDomain('odense-hal'));
    host.inDomain('odense-hal').forEach((target) => {
      host.reachability.recordConnectFailure(target);
    });
    await host.sweepFor(5_000);
    expect(host.reachability.unreachableDomains).toEqual(['odense-hal']);
    expect(host.reachability.reachesNone).toBe(false);
  });

  describe('does not take for a broken path', () => {
    it('a service whose targets are all down', async () => {
      const host = makeHost();
      host.all.forEach(host.answer);
      const down = host.all.filter(({ record }) => record.service === 'sorter-gate');
      host.setBroken('refused', down);
      for (let round = 0; round < 20; round++) {
        down.forEach((target) => {
          host.reachability.recordConnectFailure(target);
        });
        await host.sweepFor(SWEEP_MILLISECONDS);
      }
      expect(host.eventsOf('domain-reachability')).toEqual([]);
    });

    it('the two targets that answered last, which crash together', async () => {
      const host = makeHost();
      host.all.forEach(host.answer);
      await host.clock.advance(1);
      const crashed = host.inDomain('odense-hal').filter((_, index) => index % 2 === 0);
      expect(new Set(crashed.map(({ record }) => record.service)).size).toBe(2);
      crashed.forEach((target) => {
        target.recordResponse('object-1', host.clock.now());
        host.reachability.recordConnectFailure(target);
      });
      host.setBroken('refused', crashed);
      await host.sweepFor(5_000);
      expect(host.eventsOf('domain-reachability')).toEqual([]);
    });

    it('targets that are slow to answer', async () => {
      const host = makeHost();
      host.all.forEach((target) => {
        host.reachability.recordSend(target);
      });
      await host.sweepFor(10_000);
      expect(host.eventsOf('domain-reachability')).toEqual([]);
    });

    it('a burst of failed connections while targets accept others', async () => {
      const host = makeHost();
      for (let round = 0; round < 50; round++) {
        host.all.forEach((target) => {
          host.reachability.recordConnectFailure(target);
        });
        await host.sweepFor(SWEEP_MILLISECONDS);
      }
      expect(host.eventsOf('domain-reachability')).toEqual([]);
    });

    it('a calm hour: silence without requests costs no connection', async () => {
      const host = makeHost();
      host.all.forEach(host.answer);
      await host.sweepFor(60_000);
      expect(host.attempts).toEqual([]);
    });
  });

  it('spends few connections on one request without an answer', async () => {
    const host = makeHost();
    const [target] = host.all;
    if (target !== undefined) {
      host.reachability.recordSend(target);
    }
    await host.sweepFor(10_000);
    expect(host.attempts.length).toBeLessThanOrEqual(12);
  });

  it('rarely believes that it reaches no target while every third attempt is lost', async () => {
    const host = makeHost();
    const random = new SeededRandom(7);
    const loses = { get: () => (random.next() < 1 / 3 ? 'unknown' : undefined) } as const;
    Object.assign(host.broken, loses);
    for (let round = 0; round < 300; round++) {
      host.all.forEach((target) => {
        host.reachability.recordConnectFailure(target);
      });
      await host.sweepFor(SWEEP_MILLISECONDS);
    }
    expect(host.changes).toEqual([]);
  });

  it('checks a few of many failure domains at a time and concludes from these', async () => {
    const domains = Array.from({ length: 101 }, (_, index) => `domain-${index}`);
    const host = makeHost({ domains });
    host.all.forEach(host.answer);
    host.setBroken('unknown');
    const [target] = host.all;
    if (target !== undefined) {
      host.reachability.recordConnectFailure(target);
    }
    await host.sweepFor(2_000);
    expect(host.reachability.reachesNone).toBe(true);
    expect(host.attempts.length).toBeLessThanOrEqual(2 * 8 * 10);
  });
});
