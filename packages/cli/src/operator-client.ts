import { operatorMethods, parseFields } from '@ferrylock/schema';
import type { OperatorMethod, OperatorParams, OperatorResult } from '@ferrylock/schema';
import { createJSONRPCRequest } from 'json-rpc-2.0';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { request } from 'undici';
import { z } from 'zod';

const DEFAULT_TIMEOUT_MILLISECONDS = 15_000;

/** Why a call brought no result. */
export interface CallFailure {
  /** The daemon's error code; 0 where no daemon answered. */
  readonly code: number;
  readonly message: string;
}

const responseSchema = z.object({
  result: z.unknown().optional(),
  error: z.object({ code: z.number(), message: z.string() }).optional(),
});

export interface OperatorClientOptions {
  /** URL of any daemon's control listener. */
  readonly endpoint: string;
  readonly token?: string | undefined;
  readonly timeoutMilliseconds?: number;
}

/** Makes operators' calls to a daemon. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  async call<Method extends OperatorMethod>(
    method: Method,
    params: OperatorParams<Method>,
  ): Promise<Result<OperatorResult<Method>, CallFailure>> {
    const { endpoint, token, timeoutMilliseconds } = this.#options;
    try {
      const response = await request(new URL('/rpc', endpoint), {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        },
        body: JSON.stringify(createJSONRPCRequest(1, method, params)),
        signal: AbortSignal.timeout(timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS),
      });
      return this.#read(method, await response.body.json());
    } catch (error) {
      return Err({ code: 0, message: `no answer from ${endpoint}: ${String(error)}` });
    }
  }

  #read<Method extends OperatorMethod>(
    method: Method,
    answer: unknown,
  ): Result<OperatorResult<Method>, CallFailure> {
    const { result, error } = responseSchema.parse(answer);
    if (error !== undefined) {
      return Err(error);
    }
    const parsed = parseFields(operatorMethods[method].result, result);
    return parsed.isOk()
      ? Ok(parsed.value as OperatorResult<Method>)
      : Err({ code: 0, message: `${method}: unexpected answer from the daemon` });
  }
}
