/** Why a request was refused or its outcome is not known. Sent to callers as a code. */
export type RefusalReason =
  | 'unknown-service'
  | 'not-ready'
  | 'no-target'
  | 'limit'
  | 'overload'
  | 'deadline'
  | 'too-large'
  | 'bad-request'
  | 'not-permitted'
  | 'key-required'
  | 'key-used'
  | 'key-holder-gone'
  | 'connect-failed'
  | 'target-shed'
  | 'target-failed'
  | 'targets-end'
  | 'caller-gone'
  | 'stopping';

/** The target has answered; whatever the status, it ran as far as the target says. */
export interface Answered {
  readonly kind: 'answered';
  readonly status: number;
}

/** Certainly not run: no byte of it had left, or the target itself said so. */
export interface NotRun {
  readonly kind: 'notRun';
  readonly reason: RefusalReason;
  readonly detail: string;
  /** When it makes sense to ask again, in seconds. */
  readonly retryAfterSeconds?: number;
}

/** May have run: bytes of it had left and no whole answer came back. */
export interface MayHaveRun {
  readonly kind: 'mayHaveRun';
  readonly reason: RefusalReason;
  readonly detail: string;
}

/** What became of a request. */
export type Verdict = Answered | NotRun | MayHaveRun;

export function notRun(reason: RefusalReason, detail: string, retryAfterSeconds?: number): NotRun {
  return {
    kind: 'notRun',
    reason,
    detail,
    ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
  };
}

export function mayHaveRun(reason: RefusalReason, detail: string): MayHaveRun {
  return { kind: 'mayHaveRun', reason, detail };
}
