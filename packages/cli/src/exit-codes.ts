import { rpcErrorCodes } from '@ferrylock/schema';

/** Exit codes of the command line, as documented in docs/operators/command-line.md. */
export const exitCodes = {
  done: 0,
  /** The daemon refused the call for another reason, or did not answer. */
  failed: 1,
  /** The command line or a file is wrong. */
  badInput: 2,
  /** Someone else changed the configuration; look at it and try again. */
  conflict: 3,
  /** The change may have been stored; the same command again settles it. */
  outcomeUnknown: 4,
  /** The token does not permit this. */
  notPermitted: 5,
} as const;

/** The exit code for an error of the operators' calls. */
export function exitCodeOf(rpcErrorCode: number): number {
  switch (rpcErrorCode) {
    case rpcErrorCodes.conflict:
      return exitCodes.conflict;
    case rpcErrorCodes.outcomeUnknown:
      return exitCodes.outcomeUnknown;
    case rpcErrorCodes.invalidParams:
    case rpcErrorCodes.tooLarge:
      return exitCodes.badInput;
    case rpcErrorCodes.notPermitted:
      return exitCodes.notPermitted;
    default:
      return exitCodes.failed;
  }
}
