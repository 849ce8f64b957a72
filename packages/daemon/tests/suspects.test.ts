/**
 * A request that ends each target that begins to run it, at two daemons: its caller sends it again and again, to both.
 * The same incident as of the entry hosts on the users' platform: nothing ties the sends together, so that
 * each daemon tries three targets for each of them, and the whole service ends.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { Fixture, send, until } from './daemon-fixture.js';

const TARGETS = 8;
const CRASHING_PATH = '/crashes';
/** Targets that end before anything is made of it, and what a call under way at the other daemon may end. */
const MOST_ENDS = 4;
const CALLS = 12;
const TEST_MILLISECONDS = 60_000;

describe('a request that ends the targets of a service', { timeout: TEST_MILLISECONDS }, () => {
  let fixture: Fixture | undefined;

  afterEach(async () => {
    await fixture?.stop();
    fixture = undefined;
  });

  async function start(): Promise<Fixture> {
    fixture = await Fixture.start({ daemons: 2, targets: TARGETS });
    for (const target of fixture.targets) {
      target.endsAtPath = CRASHING_PATH;
    }
    return fixture;
  }

  it('is turned away by every daemon once three have ended, while others are served', async () => {
    const running = await start();
    const [first] = running.daemons;
    await send(running.url(CRASHING_PATH, 0));
    await until(() => first?.components.membership.knownPeers().length === 1);
    // Two rounds of messages between the daemons.
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    for (let call = 0; call < CALLS; call++) {
      const seen = await send(running.url(CRASHING_PATH, call % 2));
      expect(seen.status).toBeGreaterThanOrEqual(500);
      expect((await send(running.url('/work', call % 2))).status).toBe(200);
    }
    const ended = running.targets.filter((target) => target.hasEnded).length;
    expect(ended).toBeGreaterThanOrEqual(3);
    expect(ended).toBeLessThanOrEqual(MOST_ENDS);
    expect(await send(running.url(CRASHING_PATH, 1))).toMatchObject({
      status: 503,
      ran: 'no',
      reason: 'targets-end',
    });
  });
});
