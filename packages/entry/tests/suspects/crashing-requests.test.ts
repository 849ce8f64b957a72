/**
 * Guards against a request that crashes each target that runs it and spreads over the fleet by
 * retries of hosts and callers, because no host recognizes the repetitions at other hosts.
 */
import type { RepeatedRequest } from '@ferrylock/test-utils';
import { CrashFleet, FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const TEST_MILLISECONDS = 120_000;
const SETTLE_MILLISECONDS = 4_000;
/** Time within which hosts must receive a report. */
const CONNECTIVITY_MILLISECONDS = 4_000;
/** Crashes until a request is a suspect, and sends that are tolerated afterwards. */
const CRASHES_BEFORE = 3;
const MAX_SENDS_AFTER = 3;
const OBJECTS = 72;
const LOOK_UPS_PER_SECOND = 200;
const WAVE_REQUESTS = 5;
const WAVE_MILLISECONDS = 700;

const crashing = (name: string): RepeatedRequest => ({ name, crashes: true });

async function setUp(hosts: number, targets: number) {
  const clock = new FakeClock();
  const crashes = new CrashFleet({ clock, hosts, domains: 6, targets, seed: 1 });
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, crashes };
}

/** Sends requests for ordinary objects until a given time. */
function requestObjects(crashes: CrashFleet, until: number): void {
  for (let object = 0; object < OBJECTS; object++) {
    const request = { name: `object-${object}`, crashes: false };
    void crashes.call(request, LOOK_UPS_PER_SECOND / OBJECTS, until);
  }
}

/** Sends a request to five hosts; callers retry at the next host when the first attempt is lost. */
async function sendWave(
  crashes: CrashFleet,
  clock: FakeClock,
  request: RepeatedRequest,
): Promise<void> {
  const hosts = crashes.fleet.hosts.length;
  for (let call = 0; call < WAVE_REQUESTS; call++) {
    const host = Math.floor((call * hosts) / WAVE_REQUESTS);
    void crashes.ask(host, request).then((answer) => {
      if (answer === 'lost') {
        void crashes.ask((host + 1) % hosts, request);
      }
    });
    await clock.advance(WAVE_MILLISECONDS / WAVE_REQUESTS);
  }
}

/** Counts sends after the time at which hosts had to know the third crash. */
function sendsAfter(crashes: CrashFleet, name: string): number {
  return crashes.sentAfter(name, crashes.endedAt(name, CRASHES_BEFORE) + CONNECTIVITY_MILLISECONDS);
}

describe('a request that crashes each target', { timeout: TEST_MILLISECONDS }, () => {
  it('is sent at most three times after three crashes, at 12 and at 65 hosts', async () => {
    for (const [hosts = 0, targets = 0] of [
      [12, 20],
      [65, 60],
    ]) {
      const { clock, crashes } = await setUp(hosts, targets);
      requestObjects(crashes, clock.now() + 40_000);
      for (let wave = 0; wave < 12; wave++) {
        await sendWave(crashes, clock, crashing('bad'));
        await clock.advance(2_000);
      }
      expect(crashes.endedAt('bad', CRASHES_BEFORE)).toBeLessThan(Infinity);
      expect(sendsAfter(crashes, 'bad')).toBeLessThanOrEqual(MAX_SENDS_AFTER);
    }
  });

  it('is detected if there are two of them at the same time', async () => {
    const { clock, crashes } = await setUp(12, 20);
    requestObjects(crashes, clock.now() + 40_000);
    for (let wave = 0; wave < 12; wave++) {
      await sendWave(crashes, clock, crashing('bad'));
      await sendWave(crashes, clock, crashing('worse'));
      await clock.advance(1_300);
    }
    expect(sendsAfter(crashes, 'bad')).toBeLessThanOrEqual(MAX_SENDS_AFTER);
    expect(sendsAfter(crashes, 'worse')).toBeLessThanOrEqual(MAX_SENDS_AFTER);
  });

  it('is known after all hosts have restarted at the same time', async () => {
    const { clock, crashes } = await setUp(12, 20);
    requestObjects(crashes, clock.now() + 30_000);
    await sendWave(crashes, clock, crashing('bad'));
    await clock.advance(3_000);
    for (let host = 0; host < crashes.fleet.hosts.length; host++) {
      void crashes.fleet.restartHost(host, 1_000);
    }
    await clock.advance(5_000);
    for (let wave = 0; wave < 5; wave++) {
      await sendWave(crashes, clock, crashing('bad'));
    }
    expect(sendsAfter(crashes, 'bad')).toBeLessThanOrEqual(1);
  });

  it('is known to a host after a partition and to a restarted host', async () => {
    const { clock, crashes } = await setUp(12, 20);
    const [partitioned, restarted] = [3, 7];
    crashes.fleet.setCut(partitioned, true);
    await clock.advance(2_000);
    await sendWave(crashes, clock, crashing('bad'));
    void crashes.fleet.restartHost(restarted, 1_000);
    await clock.advance(5_000);
    crashes.fleet.setCut(partitioned, false);
    await clock.advance(CONNECTIVITY_MILLISECONDS);
    const trial = crashes.ask(0, crashing('bad'));
    await clock.advance(1_000);
    expect(await trial).toBe('lost');
    for (const host of [partitioned, restarted, partitioned, restarted]) {
      expect(await resultOf(clock, crashes, host, crashing('bad'))).toBe('turned-away');
    }
  });

  it('gets a single trial in the whole fleet, however long it arrives', async () => {
    const { clock, crashes } = await setUp(12, 20);
    for (let wave = 0; wave < 60; wave++) {
      await sendWave(crashes, clock, crashing('bad'));
      await clock.advance(20_000);
    }
    expect(sendsAfter(crashes, 'bad')).toBe(1);
  });
});

describe('an ordinary request that three targets had when they crashed', () => {
  it(
    'is cleared by its trial some seconds later, at all hosts',
    { timeout: TEST_MILLISECONDS },
    async () => {
      const { clock, crashes } = await setUp(12, 20);
      const request = { name: 'object-1', crashes: false };
      for (const [place, target] of ['a', 'b', 'c'].entries()) {
        const lost = { fingerprint: request.name, requestId: '', route: '', path: '' };
        crashes.fleet.hosts[place]?.member.suspects.recordCrash({ target, requests: [lost] });
      }
      await clock.advance(1_500);
      expect(await resultOf(clock, crashes, 7, request)).toBe('turned-away');
      await clock.advance(2_000);
      expect(await resultOf(clock, crashes, 11, request)).toBe('answered');
      await clock.advance(1_500);
      for (let host = 0; host < 12; host++) {
        expect(await resultOf(clock, crashes, host, request)).toBe('answered');
      }
    },
  );
});

async function resultOf(
  clock: FakeClock,
  crashes: CrashFleet,
  host: number,
  request: RepeatedRequest,
): Promise<string> {
  const answer = crashes.ask(host, request);
  await clock.advance(500);
  return answer;
}
