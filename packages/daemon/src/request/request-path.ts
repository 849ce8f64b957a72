import type { Membership } from '@ferrylock/control';
import type { MayHaveRun, NotRun, Place, Target, Verdict } from '@ferrylock/steering';
import { BytePacer, mayHaveRun, notRun } from '@ferrylock/steering';
import { Cancellation } from '@ferrylock/utils';
import type { Clock, Logger } from '@ferrylock/utils';
import { Err } from 'ts-results-es';
import {
  FORWARDED_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  REQUEST_ID_HEADER,
  requestHeaders,
  TIMEOUT_HEADER,
} from '../http/headers.js';
import type { ServiceRuntime } from '../services/service-runtime.js';
import type { ServiceMetrics } from '../metrics/service-metrics.js';
import { Attempt } from './attempt.js';
import type { Exchange, Progress } from './exchange.js';
import { rankOf, readTimeout, refuse, watchCaller } from './exchange.js';
import type { SuspectWatch } from '../suspects/suspect-watch.js';
import { fingerprintedRequest } from './fingerprinted-request.js';
import type { KeyRegister } from './key-register.js';
import { RequestBody } from './request-body.js';
import type { TargetClient } from './target-client.js';
import type { TargetWords } from './target-words.js';
import { isNotRunByTarget, isWithoutLoad, observe } from './verdict-rules.js';

/** Tries at different targets that one request gets at most. */
const MAXIMUM_ATTEMPTS = 3;

export interface RequestPathOptions {
  readonly client: TargetClient;
  readonly keys: KeyRegister;
  readonly membership: Membership;
  readonly suspects: SuspectWatch;
  readonly words: TargetWords;
  readonly metrics: ServiceMetrics;
  readonly entryPlace: Place;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly logRequests: 'all' | 'refused' | 'none';
  readonly smallBodyBytes: number;
  readonly requestsInFlight: number;
}

/** Takes callers' requests to targets and their answers back. */
export class RequestPath {
  readonly #options: RequestPathOptions;
  #inFlight = 0;

  constructor(options: RequestPathOptions) {
    this.#options = options;
  }

  /** Requests that have arrived and not yet ended. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Serves one exchange to its end. */
  async handle(exchange: Exchange): Promise<void> {
    const { clock, metrics } = this.#options;
    const startedAt = clock.now();
    const full = this.#inFlight >= this.#options.requestsInFlight;
    this.#inFlight++;
    const verdict = full
      ? notRun('overload', 'this entry host holds as many requests as it may', 1)
      : await this.#serve(exchange, startedAt);
    this.#inFlight--;
    if (verdict.kind !== 'answered') {
      refuse(exchange, verdict);
    }
    const { account, service, declaration } = exchange.service;
    const labels = { account, service, class: declaration.repeat };
    metrics.record(labels, verdict, clock.now() - startedAt);
    this.#log(exchange, verdict);
  }

  async #serve(exchange: Exchange, startedAt: number): Promise<Verdict> {
    const { declaration } = exchange.service;
    const timeout = readTimeout(exchange.request.headers[TIMEOUT_HEADER]);
    if (timeout === undefined) {
      return notRun('bad-request', `${TIMEOUT_HEADER}: expected a whole number of milliseconds`);
    }
    const progress: Progress = {
      request: exchange.request,
      response: exchange.response,
      service: exchange.service,
      path: exchange.path,
      requestId: exchange.requestId,
      deadlineAt: startedAt + Math.min(timeout, declaration.deadlineMilliseconds),
      caller: new Cancellation(),
      attempt: undefined,
      onDeadline: undefined,
    };
    const cancelDeadline = this.#watchDeadline(progress);
    const stopWatching = watchCaller(progress);
    try {
      return await (declaration.repeat === 'never'
        ? this.#serveOnce(progress)
        : this.#serveBody(progress));
    } finally {
      cancelDeadline();
      stopWatching();
    }
  }

  #watchDeadline(progress: Progress): () => void {
    const { clock } = this.#options;
    return clock.after(progress.deadlineAt - clock.now(), () => {
      progress.attempt?.abort('deadline');
      progress.onDeadline?.();
    });
  }

  /** Work that must not repeat: run only by the daemon that gave out its key, and only once. */
  async #serveOnce(progress: Progress): Promise<Verdict> {
    const { keys } = this.#options;
    const { account, service } = progress.service;
    const key = progress.request.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof key !== 'string') {
      return notRun('key-required', `${IDEMPOTENCY_KEY_HEADER}: get one from POST /v1/keys`);
    }
    const use = keys.use(key, account, service);
    switch (use.kind) {
      case 'malformed':
        return notRun(
          'bad-request',
          `${IDEMPOTENCY_KEY_HEADER}: expected a key from POST /v1/keys`,
        );
      case 'forged':
        return notRun('not-permitted', 'the key was not given out for this service');
      case 'elsewhere':
        return this.#passToHolder(progress, use.incarnation);
      case 'expired':
        return mayHaveRun('key-used', 'the key has expired; whether it ran is no longer known');
      case 'repeat':
        return mayHaveRun('key-used', `the key was used before; its request: ${use.state}`);
      case 'first': {
        const verdict = await this.#serveBody(progress);
        use.settle(verdict);
        return verdict;
      }
    }
  }

  /** Another process gave the key out: only that one may run it. */
  async #passToHolder(progress: Progress, incarnation: string): Promise<Verdict> {
    const { membership, client, words } = this.#options;
    const holder = membership.knownMembers().find((member) => member.incarnation === incarnation);
    const isForwarded = progress.request.headers[FORWARDED_HEADER] !== undefined;
    if (holder === undefined || isForwarded) {
      return mayHaveRun('key-holder-gone', 'the entry host that gave out the key is gone');
    }
    const read = await this.#readBody(progress);
    if (read.isErr()) {
      return read.error;
    }
    const { request, response } = progress;
    const attempt = new Attempt({
      client,
      words,
      body: read.value,
      response,
      wholeUpload: false,
      request: {
        address: holder.trafficAddress,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: requestHeaders(request.headers, {
          [FORWARDED_HEADER]: membership.self.id,
          [TIMEOUT_HEADER]: String(this.#remaining(progress)),
          [REQUEST_ID_HEADER]: progress.requestId,
        }),
        body: read.value.forAttempt(undefined),
      },
    });
    const verdict = await this.#follow(progress, attempt);
    // Whatever went wrong here, the key may have been used at its holder before.
    return verdict.kind === 'notRun' ? mayHaveRun('key-holder-gone', verdict.detail) : verdict;
  }

  async #serveBody(progress: Progress): Promise<Verdict> {
    const read = RequestBody.without(progress.request) ?? (await this.#readBody(progress));
    if (read.isErr()) {
      return read.error;
    }
    const { service } = progress;
    const failed = new Set<Target>();
    let mayHaveRunBefore: MayHaveRun | undefined;
    service.retries.recordRequest();
    service.shifts.recordDemand();
    const fingerprinted = fingerprintedRequest(progress, read.value);
    for (let tries = 1; ; tries++) {
      if (!this.#options.suspects.mayRun(fingerprinted)) {
        return (
          mayHaveRunBefore ?? notRun('targets-end', 'targets ended when they ran this request')
        );
      }
      const verdict = await this.#tryOnce(progress, read.value, failed);
      if (verdict.kind === 'mayHaveRun') {
        mayHaveRunBefore = verdict;
      }
      const goOn =
        tries < MAXIMUM_ATTEMPTS &&
        this.#mayRetry(progress, read.value, verdict) &&
        this.#hasOtherTarget(service, failed) &&
        (isWithoutLoad(verdict) || service.retries.tryTake());
      if (!goOn) {
        // A later try that was not run does not undo an earlier one that may have been.
        return verdict.kind === 'notRun' ? (mayHaveRunBefore ?? verdict) : verdict;
      }
    }
  }

  #hasOtherTarget(service: ServiceRuntime, failed: ReadonlySet<Target>): boolean {
    return service.targets.open(this.#options.clock.now()).some((target) => !failed.has(target));
  }

  /** Reads a small body, which a slow sender may not draw out beyond the deadline. */
  #readBody(progress: Progress): ReturnType<typeof RequestBody.read> {
    const read = RequestBody.read(progress.request, {
      smallBytes: this.#options.smallBodyBytes,
      maximumBytes: progress.service.declaration.maximumBodyBytes,
    });
    const overdue = new Promise<Err<NotRun>>((resolve) => {
      progress.onDeadline = () => {
        resolve(Err(notRun('deadline', 'the request was not whole in time')));
      };
    });
    return Promise.race([read, overdue]);
  }

  async #tryOnce(progress: Progress, body: RequestBody, failed: Set<Target>): Promise<Verdict> {
    const { service, deadlineAt, caller } = progress;
    const { entryPlace, clock } = this.#options;
    if (!service.links.isEmpty) {
      for (const target of service.targets.open(clock.now())) {
        service.links.recordDemand(entryPlace, target.place);
      }
    }
    const entered = await service.gate.enter({
      deadlineAt,
      caller,
      rank: rankOf(progress),
      accept: (target) =>
        !failed.has(target) &&
        service.links.hasRoom(entryPlace, target.place) &&
        service.shifts.mayEnter(target.place.region),
      onTaken: (target) => {
        service.links.takeRequest(entryPlace, target.place);
        service.shifts.recordEntry(target.place.region);
      },
    });
    if (entered.isErr()) {
      return entered.error;
    }
    const target = entered.value;
    const sentAt = clock.now();
    const verdict = await this.#send(progress, body, target);
    this.#options.suspects.recordVerdict(fingerprintedRequest(progress, body), target, verdict);
    const took = clock.now() - sentAt;
    observe(target, verdict, took, clock.now());
    service.gate.leave(target, took);
    if (verdict.kind !== 'answered') {
      failed.add(target);
    }
    return verdict;
  }

  #send(progress: Progress, body: RequestBody, target: Target): Promise<Verdict> {
    const { request, response, service } = progress;
    const { client, entryPlace, clock, words } = this.#options;
    if (progress.caller.isCancelled) {
      return Promise.resolve(notRun('caller-gone', 'the caller went away while waiting'));
    }
    if (clock.now() >= progress.deadlineAt) {
      // The deadline's timer has fired while no try was under way, and would not end this one.
      return Promise.resolve(notRun('deadline', 'the time was over before a target was asked', 1));
    }
    const buckets = service.links.byteBuckets(entryPlace, target.place);
    const pacer = buckets.length > 0 ? new BytePacer(buckets, clock) : undefined;
    const pace = pacer && ((bytes: number) => pacer.pass(bytes, progress.caller.signal));
    const attempt = new Attempt({
      client,
      words,
      body,
      response,
      target,
      wholeUpload: service.declaration.repeat === 'wholeUpload',
      request: {
        address: target.address,
        method: request.method ?? 'GET',
        path: progress.path,
        headers: requestHeaders(request.headers, {
          [TIMEOUT_HEADER]: String(this.#remaining(progress)),
          [REQUEST_ID_HEADER]: progress.requestId,
        }),
        body: body.forAttempt(pace),
      },
    });
    return this.#follow(progress, attempt);
  }

  async #follow(progress: Progress, attempt: Attempt): Promise<Verdict> {
    progress.attempt = attempt;
    const verdict = await attempt.verdict;
    progress.attempt = undefined;
    return verdict;
  }

  #mayRetry(progress: Progress, body: RequestBody, verdict: Verdict): boolean {
    if (verdict.kind === 'answered' || !body.canBeSent || progress.response.headersSent) {
      return false;
    }
    if (this.#remaining(progress) <= 0 || progress.caller.isCancelled) {
      return false;
    }
    const isFree = progress.service.declaration.repeat === 'free';
    return verdict.kind === 'notRun'
      ? isNotRunByTarget(verdict)
      : isFree && verdict.reason === 'target-failed';
  }

  #remaining(progress: Progress): number {
    return Math.max(0, Math.round(progress.deadlineAt - this.#options.clock.now()));
  }

  #log(exchange: Exchange, verdict: Verdict): void {
    const { logger, logRequests } = this.#options;
    const wanted =
      logRequests === 'all' || (logRequests === 'refused' && verdict.kind !== 'answered');
    if (wanted) {
      const { requestId, service } = exchange;
      logger.info('request', {
        requestId,
        account: service.account,
        service: service.service,
        verdict,
      });
    }
  }
}
