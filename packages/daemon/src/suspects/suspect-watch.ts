import type { HeartbeatParticipant, Membership, ReceivedHeartbeat } from '@ferrylock/control';
import { encodeSuspects, requestFingerprint, suspectsSchema } from '@ferrylock/entry';
import type { CheckConnection, FingerprintedRequest } from '@ferrylock/entry';
import { RESPONSES_TO_CLEAR, SuspectTable } from '@ferrylock/routing';
import type { Target, Verdict } from '@ferrylock/steering';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, rendezvousRank, shuffled } from '@ferrylock/utils';
import { isLost } from '../request/verdict-rules.js';

/** From a lost answer to the look whether its target has ended. */
const CHECK_AFTER_MILLISECONDS = 50;
/** From the last end under a request until it is let run once more. */
const TRIAL_AFTER_MILLISECONDS = 10_000;
/** Time between two trials of one request by one daemon. */
const TRIAL_PAUSE_MILLISECONDS = 600_000;

/** Limit on other targets that are asked after a refused connection. */
const MAX_WITNESSES = 8;

export interface SuspectWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly membership: Pick<Membership, 'self' | 'knownMembers'>;
  readonly checkConnection: CheckConnection;
  /** Addresses of other targets that are expected to accept connections. */
  readonly otherTargets: (address: string) => readonly string[];
  readonly random: Random;
}

/**
 * Turns requests away under which targets end one after the other, at all daemons: what each sees travels with the
 * heartbeats. Targets tell no starts here, so that each counts once, and a request is a suspect once three different
 * ones have ended under it.
 */
export class SuspectWatch implements HeartbeatParticipant {
  readonly #options: SuspectWatchOptions;
  readonly #tasks: BackgroundTasks;
  readonly #table: SuspectTable;
  readonly #triedAt = new Map<string, number>();

  constructor(options: SuspectWatchOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
    this.#table = new SuspectTable(options.clock);
  }

  describe(): { suspects: string } {
    this.#table.sweep();
    return { suspects: encodeSuspects(this.#table.report('all')) };
  }

  received({ fields }: Pick<ReceivedHeartbeat, 'fields'>): void {
    const told = suspectsSchema.safeParse(fields.suspects);
    if (told.success) {
      this.#table.merge(told.data);
    }
  }

  /** Whether a request may be sent to a target now. */
  mayRun(request: FingerprintedRequest | undefined): boolean {
    const fingerprint = this.#find(request);
    if (fingerprint === undefined || !this.#table.isSuspect(fingerprint)) {
      return true;
    }
    this.#table.recordArrival(fingerprint);
    return this.#takeTrial(fingerprint);
  }

  /** Learns from how a try ended. A target that leaves is expected to end. */
  recordVerdict(
    request: FingerprintedRequest | undefined,
    { address, leaving, drained }: Pick<Target, 'address' | 'leaving' | 'drained'>,
    verdict: Verdict,
  ): void {
    if (verdict.kind === 'answered') {
      this.#recordAnswer(request);
    } else if (request !== undefined && isLost(verdict) && !leaving && !drained) {
      const fingerprint = requestFingerprint(request);
      this.#options.clock.after(CHECK_AFTER_MILLISECONDS, () => {
        this.#tasks.run('suspect check', () => this.#check(fingerprint, address));
      });
    }
  }

  #recordAnswer(request: FingerprintedRequest | undefined): void {
    const fingerprint = this.#find(request);
    if (fingerprint !== undefined) {
      const isTrial = this.#table.isSuspect(fingerprint) && this.#triedAt.has(fingerprint);
      this.#table.recordResponse(fingerprint, isTrial ? RESPONSES_TO_CLEAR : 1);
    }
  }

  #find(request: FingerprintedRequest | undefined): string | undefined {
    if (request === undefined || this.#table.size === 0) {
      return undefined;
    }
    const fingerprint = requestFingerprint(request);
    return this.#table.has(fingerprint) ? fingerprint : undefined;
  }

  async #check(fingerprint: string, address: string): Promise<void> {
    const connection = await this.#options.checkConnection(address);
    if (connection === 'refused' && (await this.#isPathWhole(address))) {
      this.#table.recordCrash(fingerprint, address);
      const targets = this.#table.crashesOf(fingerprint);
      this.#options.logger.warn('a target ended under a request', { fingerprint, targets });
    }
  }

  /** Checks whether other targets accept connections: a broken path may refuse them, too. */
  async #isPathWhole(address: string): Promise<boolean> {
    const { checkConnection, otherTargets, random } = this.#options;
    const witnesses = shuffled(random, otherTargets(address)).slice(0, MAX_WITNESSES);
    const checks = await Promise.all(witnesses.map((witness) => checkConnection(witness)));
    return checks.length === 0 || checks.includes('taken');
  }

  /** One daemon, the same by everybody's reckoning, lets a suspect run once more. */
  #takeTrial(fingerprint: string): boolean {
    const { clock, membership, logger } = this.#options;
    const now = clock.now();
    const triedAt = this.#triedAt.get(fingerprint) ?? -Infinity;
    const ids = [membership.self, ...membership.knownMembers()].map(({ id }) => id);
    const [first] = rendezvousRank(fingerprint, [...new Set(ids)], (id) => id);
    const isDue =
      now - this.#table.lastCrashAt(fingerprint) >= TRIAL_AFTER_MILLISECONDS &&
      now - triedAt >= TRIAL_PAUSE_MILLISECONDS;
    if (first !== membership.self.id || !isDue) {
      return false;
    }
    this.#triedAt.delete(fingerprint);
    this.#triedAt.set(fingerprint, now);
    this.#forgetTrials(now);
    logger.info('a suspect is let run once more', { fingerprint });
    return true;
  }

  #forgetTrials(now: number): void {
    for (const [fingerprint, at] of this.#triedAt) {
      if (now - at < TRIAL_PAUSE_MILLISECONDS) {
        return;
      }
      this.#triedAt.delete(fingerprint);
    }
  }
}
