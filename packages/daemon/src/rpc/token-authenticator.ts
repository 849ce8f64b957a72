import { readFile, stat } from 'node:fs/promises';
import type { Clock, Logger } from '@ferrylock/utils';
import { createLocalJWKSet, jwtVerify } from 'jose';
import type { JSONWebKeySet } from 'jose';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { z } from 'zod';
import type {
  OperatorAuthenticator,
  OperatorIdentity,
  OperatorRole,
} from './operator-authenticator.js';
import { operatorRoles } from './operator-authenticator.js';

/** Tokens must be made for this audience. */
export const TOKEN_AUDIENCE = 'ferrylock';
const ALGORITHMS = ['EdDSA', 'ES256', 'RS256'];
const BEARER = /^Bearer (\S+)$/;
/** How often the file is looked at for new keys. */
const RELOAD_MILLISECONDS = 2_000;

const claimsSchema = z.object({
  sub: z.string().min(1),
  exp: z.number(),
  /** The role that the operator has for each account. */
  accounts: z.record(z.string(), z.enum(operatorRoles)),
});

const keySetSchema = z.object({ keys: z.array(z.looseObject({ kty: z.string() })).min(1) });

/** Reads the keys that tokens may be signed with. */
export type KeySource = () => Promise<JSONWebKeySet>;

/** Keys from a JSON Web Key Set file, read anew when the file has changed. */
export function keysFromFile(path: string, clock: Clock, logger: Logger): KeySource {
  let known: { keys: JSONWebKeySet; changedAt: number; lookedAt: number } | undefined;
  return async () => {
    if (known !== undefined && clock.now() - known.lookedAt < RELOAD_MILLISECONDS) {
      return known.keys;
    }
    try {
      const { mtimeMs } = await stat(path);
      if (known?.changedAt !== mtimeMs) {
        const text = await readFile(path, 'utf8');
        const keys = keySetSchema.parse(JSON.parse(text)) as JSONWebKeySet;
        known = { keys, changedAt: mtimeMs, lookedAt: clock.now() };
        logger.info('operators’ keys read', { path, keys: keys.keys.length });
      } else {
        known.lookedAt = clock.now();
      }
      return known.keys;
    } catch (error) {
      // A file that is being replaced, or is broken: the keys that were good stay in force.
      logger.error('operators’ keys cannot be read', { path, error: String(error) });
      if (known === undefined) {
        throw error;
      }
      known.lookedAt = clock.now();
      return known.keys;
    }
  };
}

/** Takes operators by signed tokens (JWT), each with its roles by account. */
export class TokenAuthenticator implements OperatorAuthenticator {
  constructor(readonly keys: KeySource) {}

  async authenticate(authorization: string | undefined): Promise<Result<OperatorIdentity, string>> {
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      return Err('expected the header Authorization: Bearer TOKEN');
    }
    try {
      const { payload } = await jwtVerify(token, createLocalJWKSet(await this.keys()), {
        audience: TOKEN_AUDIENCE,
        algorithms: ALGORITHMS,
        requiredClaims: ['exp', 'sub'],
      });
      const claims = claimsSchema.safeParse(payload);
      return claims.success
        ? Ok(toIdentity(claims.data))
        : Err('the token does not say which accounts it is for');
    } catch (error) {
      return Err(`the token was refused: ${error instanceof Error ? error.message : 'unknown'}`);
    }
  }
}

function toIdentity(claims: z.infer<typeof claimsSchema>): OperatorIdentity {
  const has = (account: string, role: OperatorRole): boolean => {
    const granted = Object.hasOwn(claims.accounts, account) ? claims.accounts[account] : undefined;
    return granted !== undefined && operatorRoles.indexOf(granted) >= operatorRoles.indexOf(role);
  };
  return { subject: claims.sub, mayActOn: has };
}
