/** Silence of a failure domain, with requests in flight, after which its paths are checked. */
const SILENCE_MILLISECONDS = 1_000;
/** The same while no failure domain answers; several round trips between regions. */
export const COMMON_SILENCE_MILLISECONDS = 300;
/** Minimum pause between two checks of a reachable domain. */
const CHECK_PAUSE_MILLISECONDS = 300;
/** Upper bound of that pause, which doubles with each check until a target answers. */
const MAX_CHECK_PAUSE_MILLISECONDS = 5_000;
/** Pause between two checks of an unreachable domain. */
const RECHECK_PAUSE_MILLISECONDS = 300;
/** Consecutive checks with an accepted connection after which a domain is reachable again. */
const CHECKS_UNTIL_REACHABLE = 2;
/** Consecutive failed checks of a domain whose targets still answer on open connections. */
const CHECKS_UNTIL_UNREACHABLE = 2;

/** Outcome of the connections of one check. */
export interface CheckOutcome {
  readonly accepted: number;
  readonly attempted: number;
}

/** What a check changed. */
export type ReachabilityChange = 'lost' | 'regained' | undefined;

/** Evidence on whether this host reaches the targets of one failure domain. */
export class DomainReachability {
  /** Time since which new connections to its targets fail; undefined while it is reachable. */
  unreachableSince: number | undefined;
  /** Time of the last answer of one of its targets, on any connection. */
  lastAnsweredAt = -Infinity;
  /** Time of the last answer, or connection accepted while it is reachable. */
  lastHeardAt = -Infinity;
  /** Start of the last check. */
  checkedAt = -Infinity;
  #inFlight = 0;
  /** Start of the current silence. */
  #silentSince = -Infinity;
  #isChecking = false;
  #isSuspected = false;
  #checkPause = CHECK_PAUSE_MILLISECONDS;
  #lastConnectedAt = -Infinity;
  #acceptedChecks = 0;
  #failedChecks = 0;

  /** Records that a request is in flight at one of its targets. */
  recordSend(now: number): void {
    if (this.#inFlight === 0) {
      this.#silentSince = Math.max(this.#silentSince, now);
    }
    this.#inFlight++;
  }

  recordEnd(): void {
    this.#inFlight--;
  }

  recordAnswer(now: number): void {
    this.lastAnsweredAt = now;
    this.lastHeardAt = now;
    this.#silentSince = now;
    this.#checkPause = CHECK_PAUSE_MILLISECONDS;
  }

  /** Records that a target accepted a connection. */
  recordConnected(now: number): void {
    this.#lastConnectedAt = now;
    if (this.unreachableSince === undefined) {
      this.lastHeardAt = now;
      this.#silentSince = now;
    }
  }

  /** Requests a check, as after a failed connection attempt. */
  suspect(): void {
    this.#isSuspected = true;
  }

  /** @param isCommonSilence - whether no other domain answers either */
  isCheckDue(now: number, isCommonSilence: boolean): boolean {
    if (this.#isChecking) {
      return false;
    }
    const sinceCheck = now - this.checkedAt;
    if (this.unreachableSince !== undefined) {
      return sinceCheck >= RECHECK_PAUSE_MILLISECONDS;
    }
    return (
      sinceCheck >= this.#checkPause && (this.#isSuspected || this.#isSilent(now, isCommonSilence))
    );
  }

  beginCheck(now: number): void {
    this.#isChecking = true;
    this.#isSuspected = false;
    this.checkedAt = now;
  }

  /** Ends a check that could not be carried out, so that another one may begin. */
  abandonCheck(): void {
    this.#isChecking = false;
  }

  endCheck({ accepted, attempted }: CheckOutcome, now: number): ReachabilityChange {
    this.#isChecking = false;
    if (this.unreachableSince !== undefined) {
      return this.#recheck(accepted, attempted, now);
    }
    if (attempted === 0) {
      return undefined;
    }
    if (accepted > 0 || this.#lastConnectedAt > this.checkedAt) {
      this.#checkPause = Math.min(MAX_CHECK_PAUSE_MILLISECONDS, 2 * this.#checkPause);
      this.#failedChecks = 0;
      this.recordConnected(now);
      return undefined;
    }
    this.#failedChecks++;
    const isAnswering = this.lastAnsweredAt > this.checkedAt;
    if (isAnswering && this.#failedChecks < CHECKS_UNTIL_UNREACHABLE) {
      this.#isSuspected = true;
      return undefined;
    }
    this.unreachableSince = this.checkedAt;
    this.#acceptedChecks = 0;
    return 'lost';
  }

  #recheck(accepted: number, attempted: number, now: number): ReachabilityChange {
    this.#acceptedChecks = accepted === 0 && attempted > 0 ? 0 : this.#acceptedChecks + 1;
    const isReachable = accepted === attempted || this.#acceptedChecks >= CHECKS_UNTIL_REACHABLE;
    if (!isReachable) {
      return undefined;
    }
    this.unreachableSince = undefined;
    this.#failedChecks = 0;
    this.#checkPause = CHECK_PAUSE_MILLISECONDS;
    this.recordConnected(now);
    return 'regained';
  }

  #isSilent(now: number, isCommonSilence: boolean): boolean {
    const silence = isCommonSilence ? COMMON_SILENCE_MILLISECONDS : SILENCE_MILLISECONDS;
    return this.#inFlight > 0 && now - this.#silentSince >= silence;
  }
}
