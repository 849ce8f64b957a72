import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { RateAllotment } from '../../src/index.js';
import { BytePacer, SharedBucket } from '../../src/index.js';

const CAP = 100;
const BURST = 10;

/** A part of the cap that the test changes; `lowest` is what the bucket is told of a dip. */
function makeBucket(): {
  clock: FakeClock;
  bucket: SharedBucket;
  part: { now: number; lowest: number };
} {
  const clock = new FakeClock();
  const part = { now: 1, lowest: 1 };
  const allotment: RateAllotment = {
    usablePerSecond: (_limit, cap) => part.now * cap,
    lowestPerSecond: (_limit, cap) => part.lowest * cap,
    burstShare: () => 1,
    recordDemand: () => undefined,
  };
  return { clock, bucket: new SharedBucket('limit', CAP, allotment, clock), part };
}

/** Takes as much as passes, every 10 ms. */
async function takeFor(
  clock: FakeClock,
  bucket: SharedBucket,
  milliseconds: number,
): Promise<number> {
  let taken = 0;
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    await clock.advance(10);
    while (bucket.has(1)) {
      bucket.take(1);
      taken++;
    }
  }
  return taken;
}

describe('SharedBucket', () => {
  it('lets the cap through and no more, over any time', async () => {
    const { clock, bucket } = makeBucket();
    const taken = await takeFor(clock, bucket, 10_000);
    expect(taken).toBeLessThanOrEqual(CAP * 10 + BURST);
    expect(taken).toBeGreaterThan(CAP * 10 * 0.98);
  });

  it('saves up no more than the burst while it is not used', async () => {
    const { clock, bucket } = makeBucket();
    bucket.has(1);
    await clock.advance(60_000);
    expect(await takeFor(clock, bucket, 10)).toBeLessThanOrEqual(BURST + 1);
  });

  it('lets nothing through while the part is lent away', async () => {
    const { clock, bucket, part } = makeBucket();
    await takeFor(clock, bucket, 1_000);
    Object.assign(part, { now: 0, lowest: 0 });
    expect(await takeFor(clock, bucket, 1_000)).toBe(0);
  });

  it('does not count a time in which the part had dipped', async () => {
    const { clock, bucket, part } = makeBucket();
    await takeFor(clock, bucket, 1_000);
    part.lowest = 0;
    await clock.advance(1_000);
    expect(bucket.has(1)).toBe(false);
  });
});

describe('BytePacer', () => {
  it('holds a stream to the cap, also with pieces larger than the burst', async () => {
    const { clock, bucket } = makeBucket();
    const pacer = new BytePacer([bucket], clock);
    let passed = 0;
    const stream = async (): Promise<void> => {
      for (let piece = 0; piece < 100; piece++) {
        await pacer.pass(25, new AbortController().signal);
        passed += 25;
      }
    };
    void stream();
    await clock.advance(10_000);
    expect(passed).toBeLessThanOrEqual(CAP * 10 + BURST + 25);
    expect(passed).toBeGreaterThan(CAP * 10 * 0.9);
  });
});
