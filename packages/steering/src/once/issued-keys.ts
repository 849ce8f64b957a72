import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Clock } from '@ferrylock/utils';

/** How long a key may be used after it was given out. */
export const KEY_LIFETIME_MILLISECONDS = 10 * 60_000;
/** Keys whose state is held at a time, one byte each; the oldest make room for new ones. */
const DEFAULT_CAPACITY = 4 * 1024 * 1024;
const SECRET_BYTES = 32;
const SIGNATURE_BYTES = 12;
const KEY_PATTERN = /^([A-Za-z0-9_-]+)\.([0-9a-z]+)\.([0-9a-z]+)\.([A-Za-z0-9_-]{16})$/;

/** What has become of the request that carried a key. */
export type KeyState = 'unused' | 'running' | 'ended' | 'mayHaveRun';

const STATE_CODES: Readonly<Record<KeyState, number>> = {
  unused: 0,
  running: 1,
  ended: 2,
  mayHaveRun: 3,
};
const STATE_BY_CODE: readonly KeyState[] = ['unused', 'running', 'ended', 'mayHaveRun'];

/** What a key says of itself, before its signature is checked. */
export interface ParsedKey {
  readonly incarnation: string;
  readonly number: number;
  readonly issuedAt: number;
  readonly signature: string;
}

/** The outcome of an attempt to use a key. */
export type KeyUse =
  | { readonly kind: 'first'; readonly number: number }
  | { readonly kind: 'repeat'; readonly state: Exclude<KeyState, 'unused'> }
  | { readonly kind: 'expired' }
  | { readonly kind: 'forged' };

/** Reads the parts of a key; undefined where the text is not one that a daemon gave out. */
export function parseIssuedKey(text: string): ParsedKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const [, incarnation = '', number = '', issuedAt = '', signature = ''] = match;
  return {
    incarnation,
    number: Number.parseInt(number, 36),
    issuedAt: Number.parseInt(issuedAt, 36),
    signature,
  };
}

/**
 * Keys for work that must not repeat. A key belongs to the process that gave it out, and only that
 * process runs it; once the process is gone no one ever will. So no store is needed to agree on it,
 * and a key costs one byte of memory while it can be used.
 */
export class IssuedKeys {
  readonly #secret = randomBytes(SECRET_BYTES);
  readonly #states: Uint8Array;
  #next = 1;

  constructor(
    readonly incarnation: string,
    readonly clock: Clock,
    capacity = DEFAULT_CAPACITY,
  ) {
    this.#states = new Uint8Array(capacity);
  }

  get issuedCount(): number {
    return this.#next - 1;
  }

  /** Gives out a key for one service of one account. */
  issue(account: string, service: string): string {
    const number = this.#next++;
    this.#states[number % this.#states.length] = STATE_CODES.unused;
    const issuedAt = Math.floor(this.clock.now());
    const body = `${this.incarnation}.${number.toString(36)}.${issuedAt.toString(36)}`;
    return `${body}.${this.#sign(body, account, service)}`;
  }

  /** Marks a key as running, unless it was used before. Nothing awaits between check and mark. */
  use(key: string, account: string, service: string): KeyUse {
    const parsed = parseIssuedKey(key);
    if (
      parsed?.incarnation !== this.incarnation ||
      !this.#isGenuine(key, parsed, account, service)
    ) {
      return { kind: 'forged' };
    }
    if (this.#isExpired(parsed)) {
      return { kind: 'expired' };
    }
    const slot = parsed.number % this.#states.length;
    const state = STATE_BY_CODE[this.#states[slot] ?? 0] ?? 'mayHaveRun';
    if (state !== 'unused') {
      return { kind: 'repeat', state };
    }
    this.#states[slot] = STATE_CODES.running;
    return { kind: 'first', number: parsed.number };
  }

  /** Records what became of the request; `unused` where it was certainly not run. */
  settle(number: number, state: KeyState): void {
    if (this.#isHeld(number)) {
      this.#states[number % this.#states.length] = STATE_CODES[state];
    }
  }

  #isExpired(parsed: ParsedKey): boolean {
    const age = this.clock.now() - parsed.issuedAt;
    return age > KEY_LIFETIME_MILLISECONDS || !this.#isHeld(parsed.number);
  }

  /** Whether the key's state has not yet made room for a newer key's. */
  #isHeld(number: number): boolean {
    return number < this.#next && number >= this.#next - this.#states.length;
  }

  #isGenuine(key: string, parsed: ParsedKey, account: string, service: string): boolean {
    const body = key.slice(0, key.length - parsed.signature.length - 1);
    const expected = this.#sign(body, account, service);
    return timingSafeEqual(Buffer.from(expected), Buffer.from(parsed.signature));
  }

  #sign(body: string, account: string, service: string): string {
    return createHmac('sha256', this.#secret)
      .update(`${body} ${account} ${service}`)
      .digest()
      .subarray(0, SIGNATURE_BYTES)
      .toString('base64url');
  }
}
