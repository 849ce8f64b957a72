import type { Agent, Dispatcher } from 'undici';
import { AnswerReset } from './answer-reset.js';
import type { ConnectionControl } from './connection-uses.js';
import { ConnectionUses } from './connection-uses.js';
import { EndlessAnswer } from './endless-answer.js';
import { isDelimited } from './is-delimited.js';

/** Lower statuses are informational and precede the final response (RFC 9110, 15.2). */
const FIRST_FINAL_STATUS = 200;

/** Client whose answers end at a bound, whatever the other side sends. */
export class BoundedAgent {
  readonly #agent: Agent;
  readonly #uses = new ConnectionUses();
  readonly #dispatcher: Dispatcher;

  /** @param maxBodyBytes - what the largest sound answer needs, with room to spare */
  constructor(
    agent: Agent,
    readonly maxBodyBytes: number,
  ) {
    this.#agent = agent;
    this.#dispatcher = agent.compose(
      (dispatch) => (options, handler) => dispatch(options, this.#bound(handler)),
    );
  }

  request(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
    return this.#dispatcher.request(options);
  }

  async close(): Promise<void> {
    this.#uses.close();
    await this.#agent.destroy();
  }

  #bound(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    let connection: ConnectionControl | undefined;
    let endsWithConnection = false;
    let bodyBytes = 0;
    return {
      onRequestStart: (controller, context) => {
        this.#uses.expect((_use, control) => {
          connection = control;
          control.framing.begin((error) => {
            controller.abort(error);
          });
        });
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...upgrade) => handler.onRequestUpgrade?.(...upgrade),
      onResponseStart: (controller, status, headers, ...rest) => {
        if (status >= FIRST_FINAL_STATUS) {
          connection?.framing.recordHead();
          endsWithConnection = !isDelimited(headers);
        }
        handler.onResponseStart?.(controller, status, headers, ...rest);
      },
      onResponseData: (controller, chunk) => {
        connection?.framing.recordBody(chunk.length);
        bodyBytes += chunk.length;
        if (bodyBytes > this.maxBodyBytes) {
          const message = `the body of the answer exceeds ${this.maxBodyBytes} bytes`;
          controller.abort(new EndlessAnswer('body', message));
          return;
        }
        handler.onResponseData?.(controller, chunk);
      },
      onResponseEnd: (controller, ...end) => {
        connection?.framing.end();
        if (endsWithConnection && connection?.wasReset() === true) {
          handler.onResponseError?.(controller, new AnswerReset());
          return;
        }
        handler.onResponseEnd?.(controller, ...end);
      },
      onResponseError: (...error) => {
        connection?.framing.end();
        handler.onResponseError?.(...error);
      },
    };
  }
}
