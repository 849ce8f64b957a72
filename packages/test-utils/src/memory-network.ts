import type { PeerCall, PeerFailure, PeerRouter, PeerTransport } from '@ferrylock/control';
import type { Clock, Random } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ProcessPause } from './process-pause.js';

/** What the network between daemons can be made to do wrong. */
export interface NetworkFaults {
  /** Share of messages that get lost, each way. */
  lossShare: number;
  /** Share of requests that arrive a second time, a little later. */
  duplicateShare: number;
  /** One-way delay in milliseconds. */
  delayMilliseconds: (from: string, to: string) => number;
}

/** Bytes of HTTP headers about a call, both ways, beside its JSON. */
const HEADER_BYTES_PER_CALL = 330;

/** Messages and bytes that the daemons have sent. */
export interface NetworkCounts {
  calls: number;
  bytes: number;
}

/** Carries calls between daemons in one process, as text, with delays and faults. */
export class MemoryNetwork {
  readonly faults: NetworkFaults = {
    lossShare: 0,
    duplicateShare: 0,
    delayMilliseconds: () => 0.5 + this.random.next(),
  };
  readonly counts: NetworkCounts = { calls: 0, bytes: 0 };
  readonly #routers = new Map<string, PeerRouter>();
  readonly #processes = new Map<string, ProcessPause>();
  /** Says whether messages pass from one address to another. */
  #passes: (from: string, to: string) => boolean = () => true;

  constructor(
    readonly clock: Clock,
    readonly random: Random,
  ) {}

  /** Makes a daemon reachable, and gives its way to the others. */
  connect(address: string, router: PeerRouter, process = new ProcessPause()): PeerTransport {
    this.#routers.set(address, router);
    this.#processes.set(address, process);
    return {
      call: async (call) => {
        const answer = await this.#call(address, call);
        await process.wait();
        return answer;
      },
    };
  }

  /** Ends a daemon: calls to it are refused from now on. */
  disconnect(address: string): void {
    this.#routers.delete(address);
  }

  /** Lets only those messages pass that the rule lets pass. */
  setRule(passes: (from: string, to: string) => boolean): void {
    this.#passes = passes;
  }

  /** Lets all messages pass again. */
  heal(): void {
    this.#passes = () => true;
  }

  async #call(from: string, call: PeerCall): Promise<Result<unknown, PeerFailure>> {
    this.counts.calls++;
    const text = JSON.stringify(call.params);
    this.counts.bytes += text.length + HEADER_BYTES_PER_CALL;
    const timedOut = new AbortController();
    const answer = this.#exchange(from, call, text);
    const timeout = this.clock
      .sleep(call.timeoutMilliseconds, timedOut.signal)
      .then((): Result<unknown, PeerFailure> => Err({ kind: 'lost', message: 'timed out' }));
    const first = await Promise.race([answer, timeout]);
    timedOut.abort();
    return first;
  }

  async #exchange(
    from: string,
    call: PeerCall,
    text: string,
  ): Promise<Result<unknown, PeerFailure>> {
    if (!(await this.#travels(from, call.address))) {
      return this.#never();
    }
    const router = this.#routers.get(call.address);
    if (router === undefined) {
      return Err({ kind: 'refused', message: 'nothing listens there' });
    }
    if (this.random.next() < this.faults.duplicateShare) {
      void this.#deliverLater(router, call, text);
    }
    await this.#processes.get(call.address)?.wait();
    const result = await this.#deliver(router, call, text);
    if (!(await this.#travels(call.address, from))) {
      return this.#never();
    }
    return result;
  }

  async #deliver(
    router: PeerRouter,
    call: PeerCall,
    text: string,
  ): Promise<Result<unknown, PeerFailure>> {
    try {
      const result = JSON.stringify(await router.dispatch(call.method, JSON.parse(text)));
      this.counts.bytes += result.length;
      return Ok(JSON.parse(result) as unknown);
    } catch (error) {
      return Err({ kind: 'rejected', message: String(error) });
    }
  }

  async #deliverLater(router: PeerRouter, call: PeerCall, text: string): Promise<void> {
    await this.clock.sleep(this.random.next() * 5_000);
    await this.#deliver(router, call, text);
  }

  /** Waits for the time on the way; says whether the message arrives. */
  async #travels(from: string, to: string): Promise<boolean> {
    const lost = this.random.next() < this.faults.lossShare;
    await this.clock.sleep(this.faults.delayMilliseconds(from, to));
    return !lost && this.#passes(from, to);
  }

  /** A message that is lost is never answered; the caller's time-out ends the call. */
  #never(): Promise<never> {
    return new Promise(() => undefined);
  }
}
