import type { Verdict } from '@ferrylock/steering';
import { IssuedKeys, KEY_LIFETIME_MILLISECONDS, parseIssuedKey } from '@ferrylock/steering';
import type { KeyState } from '@ferrylock/steering';
import type { Clock } from '@ferrylock/utils';

/** Share of its lifetime for which a key is promised to callers. */
const PROMISED_SHARE = 0.9;

/** What a request's key allows. */
export type KeyDecision =
  | { readonly kind: 'malformed' | 'forged' | 'expired' }
  | { readonly kind: 'elsewhere'; readonly incarnation: string }
  | { readonly kind: 'repeat'; readonly state: KeyState }
  | { readonly kind: 'first'; readonly settle: (verdict: Verdict) => void };

/** The keys that this process has given out, held apart by account. */
export class KeyRegister {
  readonly #accounts = new Map<string, IssuedKeys>();

  constructor(
    readonly incarnation: string,
    readonly clock: Clock,
    readonly keysPerAccount: number,
  ) {}

  /** Seconds for which callers may use a key after they got it. */
  get lifetimeSeconds(): number {
    return Math.floor((KEY_LIFETIME_MILLISECONDS * PROMISED_SHARE) / 1_000);
  }

  issue(account: string, service: string, count: number): string[] {
    const keys = this.#keysOf(account);
    return Array.from({ length: count }, () => keys.issue(account, service));
  }

  /** Marks a key as used, unless it was before or belongs to another process. */
  use(key: string, account: string, service: string): KeyDecision {
    const parsed = parseIssuedKey(key);
    if (parsed === undefined) {
      return { kind: 'malformed' };
    }
    if (parsed.incarnation !== this.incarnation) {
      return { kind: 'elsewhere', incarnation: parsed.incarnation };
    }
    const keys = this.#keysOf(account);
    const use = keys.use(key, account, service);
    if (use.kind !== 'first') {
      return use;
    }
    return {
      kind: 'first',
      settle: (verdict) => {
        keys.settle(use.number, stateAfter(verdict));
      },
    };
  }

  #keysOf(account: string): IssuedKeys {
    const known = this.#accounts.get(account);
    if (known !== undefined) {
      return known;
    }
    const created = new IssuedKeys(this.incarnation, this.clock, this.keysPerAccount);
    this.#accounts.set(account, created);
    return created;
  }
}

function stateAfter(verdict: Verdict): KeyState {
  switch (verdict.kind) {
    case 'answered':
      return 'ended';
    case 'notRun':
      return 'unused';
    case 'mayHaveRun':
      return 'mayHaveRun';
  }
}
