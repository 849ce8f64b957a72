import type { RequestQueue } from '../queue/request-queue.js';
import type { CallerExchange, RoutedExchange } from './caller-exchange.js';
import { isCallerGone } from './is-caller-gone.js';
import type { RefusedExchange, RequestRouterOptions } from './request-router.js';
import { RequestRouter } from './request-router.js';

export interface RequestIntakeOptions extends RequestRouterOptions {
  readonly queue: Pick<RequestQueue, 'wait'>;
}

/** Takes callers' requests in: admits each, waits until this host has time for it, reads its body. */
export class RequestIntake {
  readonly #router: RequestRouter;
  readonly #queue: Pick<RequestQueue, 'wait'>;

  constructor(options: RequestIntakeOptions) {
    this.#router = new RequestRouter(options);
    this.#queue = options.queue;
  }

  async receive(
    exchange: CallerExchange,
  ): Promise<RoutedExchange | RefusedExchange | 'caller-gone'> {
    const admitted = this.#router.admit(exchange);
    if ('reason' in admitted) {
      return admitted;
    }
    const { account, route } = admitted;
    const verdict = await this.#queue.wait({
      priority: route.priority,
      account: account?.name,
      targetLatencyMilliseconds: route.targetLatencyMilliseconds,
      arrivedAt: exchange.arrivedAt,
      isCallerGone: () => isCallerGone(exchange),
    });
    if (verdict === 'caller-gone') {
      return verdict;
    }
    return verdict === 'start' ? this.#router.receive(admitted) : { ...verdict, account, route };
  }
}
