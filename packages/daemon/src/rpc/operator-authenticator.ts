import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** What an operator may do. Each role may do what the one before it may. */
export const operatorRoles = ['reader', 'editor'] as const;
export type OperatorRole = (typeof operatorRoles)[number];

/** Who makes a call, and what for. */
export interface OperatorIdentity {
  /** Named in audit lines. */
  readonly subject: string;
  mayActOn(account: string, role: OperatorRole): boolean;
}

/** Finds out who makes a call, from its Authorization header. */
export interface OperatorAuthenticator {
  authenticate(authorization: string | undefined): Promise<Result<OperatorIdentity, string>>;
}

/** Lets everyone do everything: for trials on one machine, and only where the settings say so. */
export class OpenAuthenticator implements OperatorAuthenticator {
  async authenticate(): Promise<Result<OperatorIdentity, string>> {
    return Ok({ subject: 'anonymous', mayActOn: () => true });
  }
}

/** Refuses everyone: what a daemon does whose settings name no keys. */
export class ClosedAuthenticator implements OperatorAuthenticator {
  async authenticate(): Promise<Result<OperatorIdentity, string>> {
    return Err('operators’ calls are closed: the settings name no keys');
  }
}
