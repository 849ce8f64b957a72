import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { ProgressTimeout } from '../src/index.js';

const OPTIONS = { firstMilliseconds: 900, nextMilliseconds: 600, maxMilliseconds: 3_000 };

/** Yields a chunk each time the interval has passed. */
async function* chunks(count: number, intervalMilliseconds: number) {
  for (let index = 0; index < count; index++) {
    await new Promise((resolve) => setTimeout(resolve, intervalMilliseconds));
    yield Buffer.from(String(index));
  }
}

describe('ProgressTimeout', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('aborts without a first progress in time', async () => {
    const timeout = new ProgressTimeout(OPTIONS);
    await vi.advanceTimersByTimeAsync(899);
    expect(timeout.signal.aborted).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(timeout.signal.aborted).toBe(true);
  });

  // Guards against a large change that never arrives over a narrow link.
  it('lets a transfer take longer than either time while it makes progress', async () => {
    const timeout = new ProgressTimeout(OPTIONS);
    const read = timeout.read(chunks(4, 500));
    await vi.advanceTimersByTimeAsync(2_000);
    expect((await read).toString()).toBe('0123');
    await vi.advanceTimersByTimeAsync(10_000);
    expect(timeout.signal.aborted).toBe(false);
  });

  it('aborts a transfer that stops', async () => {
    const timeout = new ProgressTimeout(OPTIONS);
    void timeout.read(chunks(2, 700));
    await vi.advanceTimersByTimeAsync(1_299);
    expect(timeout.signal.aborted).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(timeout.signal.aborted).toBe(true);
  });

  it('aborts a transfer that goes on without end', async () => {
    const timeout = new ProgressTimeout(OPTIONS);
    void timeout.read(chunks(100, 100));
    await vi.advanceTimersByTimeAsync(2_999);
    expect(timeout.signal.aborted).toBe(false);
    await vi.advanceTimersByTimeAsync(1);
    expect(timeout.signal.aborted).toBe(true);
  });
});
