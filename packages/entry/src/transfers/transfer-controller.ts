import type { Clock } from '@ferrylock/utils';
import type { RoutedExchange } from '../request/caller-exchange.js';
import type { RequestMetrics } from '../request/request-metrics.js';
import type { ResponseWriter } from '../request/response-writer.js';
import { AnswerTransfer } from './answer-transfer.js';
import type { ByteBudget } from './byte-budget.js';

export interface TransferControllerOptions {
  readonly clock: Clock;
  readonly budget: ByteBudget;
  readonly metrics: RequestMetrics;
  readonly responses: Pick<ResponseWriter, 'recordBrokenTransfer'>;
}

/** Begins and ends the transfers of large answers, and counts them. */
export class TransferController {
  readonly #options: TransferControllerOptions;

  constructor(options: TransferControllerOptions) {
    this.#options = options;
  }

  /**
   * Makes the transfer of a request with large answers; undefined if its answer is kept whole, as
   * for a host that handed the request over.
   */
  create({ route, handover, response }: RoutedExchange): AnswerTransfer | undefined {
    return route.kind === 'download' && handover === undefined
      ? new AnswerTransfer({ ...this.#options, response })
      : undefined;
  }

  /** Reserves what a transfer may hold; true if there is none. */
  tryReserve(transfer: AnswerTransfer | undefined): boolean {
    if (transfer === undefined || transfer.tryReserve()) {
      return true;
    }
    transfer.close();
    return false;
  }

  /** Waits until the caller has taken the answer. */
  async end(exchange: RoutedExchange, transfer: AnswerTransfer | undefined): Promise<void> {
    if (transfer === undefined) {
      return;
    }
    const { metrics, responses } = this.#options;
    transfer.close();
    const end = await transfer.ended;
    if (!transfer.isPassing) {
      return;
    }
    metrics.transfers++;
    metrics.pausedTransfers += Number(transfer.wasPaused);
    if (end !== 'complete') {
      responses.recordBrokenTransfer(exchange, end);
    }
  }
}
