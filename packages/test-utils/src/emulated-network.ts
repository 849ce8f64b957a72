import { constants, gzipSync } from 'node:zlib';
import { deltaResultSchema } from '@ferrylock/entry';
import type { DatagramTransport, EntryHostRecord, FleetMember, PeerCalls } from '@ferrylock/entry';
import type { Clock, Random } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import { EmulatedLink } from './emulated-link.js';

/** Time of a message between hosts. */
const WAY_MILLISECONDS = 2;
/** Bytes of the headers of a datagram (IPv4, UDP), and of a call and its answer (HTTP). */
const DATAGRAM_HEADER_BYTES = 28;
const CALL_HEADER_BYTES = 330;
/** Largest payload of a UDP datagram over IPv4. */
export const MAX_DATAGRAM_BYTES = 65_507;
/** Length in characters from which an answer is compressed. */
const MIN_COMPRESSED_LENGTH = 2_048;
/** Time without progress after which a call counts as failed. */
const CALL_TIMEOUT_MILLISECONDS = 600;

/** What the hosts have sent so far. */
export interface NetworkTraffic {
  datagrams: number;
  /** Bytes of datagrams, headers included. */
  bytes: number;
  /** Of these, bytes between regions. */
  bytesBetweenRegions: number;
  /** Datagrams that were too large to be sent. */
  refusedDatagrams: number;
  calls: number;
  /** Bytes of calls between hosts and their answers, headers included. */
  callBytes: number;
  /** Calls back of timers and messages; each of them wakes a process. */
  wakeUps: number;
}

export interface EmulatedNetworkOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly counts: NetworkTraffic;
  /** Capacity of a host's link, each way; absent: nothing waits. */
  readonly linkBytesPerSecond?: ((host: EntryHostRecord) => number) | undefined;
}

/** Both directions of a host's link. */
interface HostLink {
  readonly out: EmulatedLink;
  readonly in: EmulatedLink;
}

/** Datagrams and calls between entry hosts in one process, by an injected clock. */
export class EmulatedNetwork {
  /** Share of datagrams that get lost. */
  lossShare = 0;
  readonly #options: EmulatedNetworkOptions;
  readonly #receivers = new Map<string, (datagram: Buffer) => void>();
  readonly #members = new Map<string, FleetMember>();
  /** Hosts by report address and by control address. */
  readonly #hostOfAddress = new Map<string, EntryHostRecord>();
  readonly #links = new Map<string, HostLink>();
  /** Names of hosts that neither hear nor reach others. */
  readonly #cutHosts = new Set<string>();
  /** Paths from one host to another that carry nothing. */
  readonly #cutPaths = new Set<string>();

  constructor(options: EmulatedNetworkOptions) {
    this.#options = options;
  }

  /** Makes a host reachable. */
  connect(host: EntryHostRecord, member: FleetMember): void {
    this.#members.set(host.controlAddress, member);
    this.#hostOfAddress.set(host.controlAddress, host);
    this.#hostOfAddress.set(host.reportAddress, host);
  }

  /** Ends a host: it hears nothing from now on, and calls to it are refused. */
  disconnect({ controlAddress, reportAddress }: EntryHostRecord): void {
    this.#members.delete(controlAddress);
    this.#receivers.delete(reportAddress);
  }

  /** Cuts a host off from the other hosts, or ends that. */
  setCut(name: string, isCut: boolean): void {
    setMember(this.#cutHosts, name, isCut);
  }

  /** Cuts the path from one host to another, in this direction alone, or ends that. */
  setPathCut(from: string, to: string, isCut: boolean): void {
    setMember(this.#cutPaths, `${from} ${to}`, isCut);
  }

  /** Milliseconds until a host has received an answer of the store. */
  receive(host: EntryHostRecord, bytes: number): number {
    return this.#link(host).in.pass(bytes);
  }

  createTransport(own: EntryHostRecord, onMessage: (datagram: Buffer) => void): DatagramTransport {
    return {
      listen: (address) => {
        this.#receivers.set(address, onMessage);
        return Promise.resolve(address);
      },
      send: (address, datagram, onFailure) => {
        this.#send(own, address, datagram, onFailure);
      },
      close: () => {
        this.#receivers.delete(own.reportAddress);
      },
    };
  }

  callsOf(own: EntryHostRecord): PeerCalls {
    return {
      delta: async (address, after) => {
        const { clock, counts } = this.#options;
        counts.calls++;
        const host = this.#hostOfAddress.get(address);
        if (host !== undefined && !this.#passes(own, host)) {
          await clock.sleep(CALL_TIMEOUT_MILLISECONDS);
          return Err('nobody answers');
        }
        await clock.sleep(WAY_MILLISECONDS + this.#link(own).out.pass(CALL_HEADER_BYTES));
        const peer = this.#members.get(address);
        if (peer === undefined || host === undefined) {
          await clock.sleep(WAY_MILLISECONDS);
          return Err('connection refused');
        }
        const text = JSON.stringify(
          peer.viewExchange.deltaFor({ afterEpoch: after.epoch, afterRevision: after.revision }),
        );
        const bytes = encodedBytes(text) + CALL_HEADER_BYTES;
        counts.callBytes += bytes;
        const { milliseconds, waitMilliseconds } = this.#passAnswer(host, own, bytes);
        if (!this.#passes(host, own) || waitMilliseconds > CALL_TIMEOUT_MILLISECONDS) {
          await clock.sleep(CALL_TIMEOUT_MILLISECONDS);
          return Err('no answer in time');
        }
        await clock.sleep(milliseconds);
        return Ok(deltaResultSchema.parse(JSON.parse(text)));
      },
      close: () => Promise.resolve(),
    };
  }

  #send(
    own: EntryHostRecord,
    address: string,
    datagram: Buffer,
    onFailure: (reason: string) => void,
  ): void {
    const { clock, counts, random } = this.#options;
    if (datagram.length > MAX_DATAGRAM_BYTES) {
      counts.refusedDatagrams++;
      onFailure('EMSGSIZE');
      return;
    }
    const bytes = datagram.length + DATAGRAM_HEADER_BYTES;
    const host = this.#hostOfAddress.get(address);
    counts.datagrams++;
    counts.bytes += bytes;
    counts.bytesBetweenRegions += host?.region === own.region ? 0 : bytes;
    const isLost = this.lossShare > 0 && random.next() < this.lossShare;
    const outMilliseconds = this.#link(own).out.pass(bytes);
    clock.after(WAY_MILLISECONDS + outMilliseconds, () => {
      counts.wakeUps++;
      if (host === undefined || isLost || !this.#passes(own, host)) {
        return;
      }
      const inMilliseconds = this.#link(host).in.pass(bytes);
      if (inMilliseconds === 0) {
        this.#receivers.get(address)?.(datagram);
      } else {
        clock.after(inMilliseconds, () => this.#receivers.get(address)?.(datagram));
      }
    });
  }

  /** Time until an answer is there, and how much of it passes before its first byte. */
  #passAnswer(from: EntryHostRecord, to: EntryHostRecord, bytes: number) {
    const links = [this.#link(from).out, this.#link(to).in];
    const ends = links.map((link) => link.pass(bytes));
    const waits = links.map((link, index) => (ends[index] ?? 0) - link.millisecondsOf(bytes));
    return {
      milliseconds: WAY_MILLISECONDS + Math.max(...ends),
      waitMilliseconds: Math.max(...waits),
    };
  }

  #passes(from: EntryHostRecord, to: EntryHostRecord): boolean {
    return (
      !this.#cutHosts.has(from.name) &&
      !this.#cutHosts.has(to.name) &&
      !this.#cutPaths.has(`${from.name} ${to.name}`)
    );
  }

  #link(host: EntryHostRecord): HostLink {
    const known = this.#links.get(host.name);
    if (known !== undefined) {
      return known;
    }
    const { clock, linkBytesPerSecond = () => Infinity } = this.#options;
    const rate = linkBytesPerSecond(host);
    const link = { out: new EmulatedLink(clock, rate), in: new EmulatedLink(clock, rate) };
    this.#links.set(host.name, link);
    return link;
  }
}

/** Answers are compressed unless they are short. */
function encodedBytes(text: string): number {
  return text.length < MIN_COMPRESSED_LENGTH
    ? Buffer.byteLength(text)
    : gzipSync(text, { level: constants.Z_BEST_SPEED }).length;
}

function setMember(names: Set<string>, name: string, isMember: boolean): void {
  if (isMember) {
    names.add(name);
  } else {
    names.delete(name);
  }
}
