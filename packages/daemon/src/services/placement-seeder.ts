import type { Membership, PeerClient, PeerRouter } from '@ferrylock/control';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, shuffled } from '@ferrylock/utils';
import type { ServiceDirectory } from './service-directory.js';
import type { ServiceRuntime } from './service-runtime.js';

const ROUND_MILLISECONDS = 200;
const PEERS_ASKED = 4;
/** Without an answer for this long, there is no fleet whose placement could be taken up. */
const GIVE_UP_MILLISECONDS = 5_000;

export interface PlacementSeederOptions {
  readonly directory: ServiceDirectory;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Gives a daemon that has just started the placement that the fleet has now, not an ideal one. */
export class PlacementSeeder {
  readonly #options: PlacementSeederOptions;
  readonly #tasks: BackgroundTasks;
  readonly #startedAt = new Map<ServiceRuntime, number>();

  constructor(options: PlacementSeederOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
  }

  register(router: PeerRouter): void {
    router.handle('placement.shares', ({ account, service }) => {
      const shifts = this.#options.directory.service(account, service)?.shifts;
      return shifts?.isSeeded === true
        ? { shares: shifts.shares(), demandPerSecond: shifts.demandPerSecond }
        : { shares: {}, demandPerSecond: 0 };
    });
  }

  start(): void {
    this.#tasks.start('placement', (signal) => this.#run(signal));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, directory } = this.#options;
    while (!signal.aborted) {
      const unseeded = directory.allServices().filter((service) => !service.shifts.isSeeded);
      await Promise.all(unseeded.map((service) => this.#seed(service)));
      await clock.sleep(ROUND_MILLISECONDS, signal);
    }
  }

  async #seed(service: ServiceRuntime): Promise<void> {
    const { membership, peers, random, clock } = this.#options;
    const startedAt = this.#startedAt.get(service) ?? clock.now();
    this.#startedAt.set(service, startedAt);
    const asked = shuffled(random, membership.knownPeers()).slice(0, PEERS_ASKED);
    const answers = await Promise.all(
      asked.map((peer) =>
        peers.call(peer.controlAddress, 'placement.shares', {
          account: service.account,
          service: service.service,
        }),
      ),
    );
    const heard = answers.flatMap((answer) => (answer.isOk() ? [answer.value] : []));
    const demand = heard.reduce((sum, { demandPerSecond }) => sum + demandPerSecond, 0);
    if (demand > 0) {
      service.shifts.seed(averageShares(heard, demand));
    } else if (clock.now() - startedAt >= GIVE_UP_MILLISECONDS) {
      service.shifts.seed(service.shifts.shares());
    }
    if (service.shifts.isSeeded) {
      this.#startedAt.delete(service);
    }
  }
}

/** Shares of several daemons, each weighed by its traffic. */
function averageShares(
  heard: readonly { shares: Record<string, number>; demandPerSecond: number }[],
  demand: number,
): Record<string, number> {
  const average: Record<string, number> = {};
  for (const { shares, demandPerSecond } of heard) {
    for (const [region, share] of Object.entries(shares)) {
      average[region] = (average[region] ?? 0) + (share * demandPerSecond) / demand;
    }
  }
  return average;
}
