import type { ChangeFailure } from '@ferrylock/control';
import { rpcErrorCodes } from '@ferrylock/schema';
import { JSONRPCErrorException } from 'json-rpc-2.0';

/** An error of the operators' calls, with its published code. */
export function rpcError(
  code: keyof typeof rpcErrorCodes,
  message: string,
  data?: unknown,
): JSONRPCErrorException {
  return new JSONRPCErrorException(message, rpcErrorCodes[code], data);
}

/** The error that tells an operator why a change was not made. */
export function changeError(failure: ChangeFailure): JSONRPCErrorException {
  switch (failure.kind) {
    case 'conflict':
      return rpcError(
        'conflict',
        `based on generation ${failure.basedOn}, but generation ${failure.current} is in force`,
        { basedOn: failure.basedOn, current: failure.current },
      );
    case 'storeUnavailable':
      return rpcError('storeUnavailable', failure.message);
    case 'outcomeUnknown':
      return rpcError('outcomeUnknown', failure.message);
    case 'tooLarge':
      return rpcError('tooLarge', `${failure.bytes} bytes, at most ${failure.maximumBytes}`);
    case 'notFound':
      return rpcError('notFound', failure.message);
  }
}
