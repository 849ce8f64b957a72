import { configurationProblemSchema } from '@ferrylock/routing';
import { z } from 'zod';
import { processorEvents } from './processor-events.js';
import { sendTraceFields } from './request/send-trace.js';

/** Request counts of one client account since the start. */
const accountRowSchema = z.object({
  account: z.string(),
  served: z.number(),
  failed: z.number(),
  overLimit: z.number(),
});

/** Fields of every event about a request. */
const requestFields = {
  requestId: z.string(),
  route: z.string().optional(),
  /** Name of the client account. */
  account: z.string().optional(),
  /** Version of the configuration that applied to the request. */
  version: z.number().optional(),
};

/** What a host counts and grants of the repeats of one service. */
const retryBudgetFields = {
  /** Requests and repeats of the service that this host counted in the last window. */
  requests: z.number(),
  repeats: z.number(),
  /** Repeats that it would grant, in parts of one. */
  available: z.number(),
  /** Part of the fleet's slack that this host has, from 0 to 1. */
  slackShare: z.number(),
  /** Time since which this host counts. */
  ageMilliseconds: z.number(),
};

/**
 * Events in the log of an entry host. Each stands for one decision or one change of the host's
 * state, with the inputs that determined it.
 */
export const eventSchema = z.discriminatedUnion('event', [
  /** The process has started to serve. */
  z.object({
    event: z.literal('started'),
    incarnation: z.string(),
    startMilliseconds: z.number(),
  }),
  /** A graceful shutdown has begun. */
  z.object({ event: z.literal('stopping'), inFlight: z.number() }),
  /** A graceful shutdown has ended. */
  z.object({
    event: z.literal('stopped'),
    cut: z.number(),
    /** The client accounts with the most requests and those with the lowest success rate. */
    accounts: z.array(accountRowSchema),
  }),
  /** A request or its answer was aborted at the end of a graceful shutdown. */
  z.object({
    event: z.literal('cut'),
    ...requestFields,
    /** Whether it had been sent to a target, or its answer was being passed on. */
    stage: z.enum(['unsent', 'sent', 'transfer']),
    milliseconds: z.number(),
    /** Time that the request would still have had. */
    remainingMilliseconds: z.number(),
  }),
  /** This host closes connections of clients, see `CloseReason`; at most once a second for each reason. */
  z.object({
    event: z.literal('connections-closed'),
    port: z.string(),
    reason: z.string(),
    /** Number since the start. */
    total: z.number(),
    /** Connections that are open at the port. */
    open: z.number(),
  }),
  /** The settings were reloaded. */
  z.object({ event: z.literal('reloaded') }),
  /** The event loop was blocked or the process was frozen. */
  z.object({ event: z.literal('paused'), milliseconds: z.number() }),
  /** The store has become unavailable. */
  z.object({ event: z.literal('store-lost'), call: z.string(), detail: z.string() }),
  /** The store is available again. */
  z.object({ event: z.literal('store-regained'), lostMilliseconds: z.number() }),
  /** The store reports a new epoch: it was restored from a snapshot. */
  z.object({
    event: z.literal('store-epoch'),
    epoch: z.number(),
    formerEpoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
  }),
  /**
   * The view has entered a new epoch of the store. It retains the records of keys that are older in
   * the restored store (`kept`) or absent from it (`missing`).
   */
  z.object({
    event: z.literal('store-return'),
    epoch: z.number(),
    formerEpoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
    kept: z.array(z.string()),
    missing: z.array(z.string()),
  }),
  /** A listing was rejected as outdated; only the first in a row is logged. */
  z.object({
    event: z.literal('listing-refused'),
    epoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
  }),
  /** A header of the store is unknown or unreadable; logged once for each name. */
  z.object({ event: z.literal('store-header'), header: z.string(), detail: z.string() }),
  /** The view has received changes from the store. */
  z.object({
    event: z.literal('view'),
    source: z.string(),
    revision: z.number(),
    changes: z.array(z.string()),
  }),
  /**
   * A value could not be decoded. It is treated as absent, except for a configuration: the previous
   * one stays in force.
   */
  z.object({ event: z.literal('bad-record'), key: z.string(), detail: z.string() }),
  /** A configuration has taken effect. */
  z.object({
    event: z.literal('configuration'),
    version: z.number(),
    routes: z.number(),
    accounts: z.number(),
    /**
     * Upper bound on the delay from the change in the store: time since the last confirmation that
     * this host was up to date. Absent before the first.
     */
    delayMilliseconds: z.number().optional(),
  }),
  /** Parts of a configuration cannot be read; the rest is in force. Logged once for each version. */
  z.object({
    event: z.literal('configuration-problems'),
    version: z.number(),
    count: z.number(),
    /** The first problems. */
    problems: z.array(configurationProblemSchema),
    unusableRoutes: z.number(),
    unusableAccounts: z.number(),
  }),
  /** Datagrams to peers could not be sent; the first one of each second is logged. */
  z.object({
    event: z.literal('send-failed'),
    address: z.string(),
    bytes: z.number(),
    detail: z.string(),
    /** Failed sends since the start. */
    failed: z.number(),
  }),
  /** Rows did not fit into a message to peers; the first message of each second is logged. */
  z.object({
    event: z.literal('rows-omitted'),
    /** Number of rows by section of the message. */
    sections: z.record(z.string(), z.number()),
  }),
  /** A peer did not return the changes that this host lacks; the first in each second is logged. */
  z.object({
    event: z.literal('fetch-failed'),
    address: z.string(),
    detail: z.string(),
    /** Failed calls since the start. */
    failed: z.number(),
  }),
  /** A peer has become alive, or has timed out. */
  z.object({
    event: z.literal('peer'),
    peer: z.string(),
    incarnation: z.string(),
    alive: z.boolean(),
    silentMilliseconds: z.number(),
  }),
  /**
   * New connections to the targets of a failure domain have begun to fail, or succeed again. The
   * checks of connections to some of them decide.
   */
  z.object({
    event: z.literal('domain-reachability'),
    failureDomain: z.string(),
    isReachable: z.boolean(),
    /** Silence before, or duration of the failure. */
    milliseconds: z.number(),
    checks: z.array(
      z.object({ target: z.string(), connection: z.enum(['refused', 'taken', 'unknown']) }),
    ),
  }),
  /** The host has begun or ceased to reach no target at all. */
  z.object({
    event: z.literal('reachability'),
    reachesNone: z.boolean(),
    /** Silence of all targets before, or duration of the failure. */
    milliseconds: z.number(),
    /** Failure domains to which new connections fail. */
    unreachable: z.array(z.string()),
    /** Number of failure domains with targets. */
    failureDomains: z.number(),
    /** Number of other hosts that report to serve callers. */
    peersServing: z.number(),
  }),
  /** The eligibility of a target has changed. */
  z.object({
    event: z.literal('target'),
    target: z.string(),
    /** Incarnation of the target, if it reports when it started. */
    start: z.string().optional(),
    service: z.string(),
    state: z.enum([
      'added',
      'reborn',
      'draining',
      'vanished',
      'returned',
      'removed',
      'failing',
      'distrusted',
      'leaving',
      'resting',
      'limited',
      'unlimited',
    ]),
    detail: z.string().optional(),
  }),
  /** An attempt at one target ended without a usable response. */
  z.object({
    event: z.literal('try-failed'),
    ...requestFields,
    target: z.string(),
    attempt: z.number(),
    milliseconds: z.number(),
    ran: z.enum(['no', 'unknown']),
    reason: z.string(),
    detail: z.string(),
    ...sendTraceFields,
    /** Estimated number of requests in flight at the target. */
    load: z.number(),
    beliefAgeMilliseconds: z.number(),
    /** Present if the request is not sent again for lack of retry budget alone. */
    retryBudget: z.object(retryBudgetFields).optional(),
  }),
  /** Requests of a service are not sent again for lack of retry budget; at most one a second. */
  z.object({
    event: z.literal('repeats-denied'),
    service: z.string(),
    /** Requests since the last such line of the service. */
    count: z.number(),
    ...retryBudgetFields,
  }),
  /** A request was handed over to another entry host, which reaches the targets. */
  z.object({
    event: z.literal('handed-over'),
    ...requestFields,
    /** Name of that host. */
    peer: z.string(),
    outcome: z.enum(['answered', 'refused', 'lost', 'ended']),
    detail: z.string(),
    ...sendTraceFields,
    milliseconds: z.number(),
    /** Time since failure domains are unreachable from this host. */
    unreachableMilliseconds: z.number(),
  }),
  /** A header in which a target reports its state could not be read and was ignored. */
  z.object({
    event: z.literal('unreadable-answer'),
    target: z.string(),
    service: z.string(),
    detail: z.string(),
  }),
  /** A response has an unknown header addressed to hosts; logged once for each name. */
  z.object({
    event: z.literal('unknown-header'),
    target: z.string(),
    service: z.string(),
    header: z.string(),
  }),
  /**
   * The connections to a target closed before it responded to these requests. `refused`: the target
   * has crashed, possibly because of one of them. `taken` and `unknown`: only the responses were
   * lost. `unreachable`: it refuses connections, but so do other targets.
   */
  z.object({
    event: z.literal('answers-lost'),
    target: z.string(),
    service: z.string(),
    connection: z.enum(['refused', 'taken', 'unknown', 'unreachable']),
    requests: z.array(
      z.object({
        /** Equal for all attempts of the same request, regardless of its id and the host. */
        fingerprint: z.string(),
        requestId: z.string(),
        route: z.string(),
        account: z.string().optional(),
        path: z.string(),
      }),
    ),
  }),
  /**
   * A request is rejected from now on because these targets crashed during it, or no longer. The
   * request with this fingerprint is in an `answers-lost` event.
   */
  z.object({
    event: z.literal('suspect'),
    fingerprint: z.string(),
    state: z.enum(['suspected', 'cleared']),
    targets: z.array(z.string()),
  }),
  /** A suspect record for the store; not written if another host was first. */
  z.object({
    event: z.literal('suspect-record'),
    fingerprint: z.string(),
    state: z.enum(['suspected', 'tried', 'cleared']),
    isWritten: z.boolean(),
    detail: z.string(),
  }),
  /** A request was refused without a target's response. */
  z.object({
    event: z.literal('refused'),
    ...requestFields,
    status: z.number(),
    ran: z.enum(['no', 'unknown']),
    reason: z.string(),
    detail: z.string(),
    /** Rank of the request; smaller numbers are more urgent. */
    priority: z.number().optional(),
    /** When the caller is told to return. */
    retryAfterSeconds: z.number().optional(),
    /** Resting targets, if all eligible ones rest; the first few whose rest ends. */
    resting: z.array(z.string()).optional(),
    /** Targets whose limit is exhausted, if that is the cause; the first few to recover. */
    limited: z.array(z.string()).optional(),
    attempts: z.number(),
    milliseconds: z.number(),
    beliefAgeMilliseconds: z.number(),
    /** Time since failure domains are unreachable from this host; absent if none is. */
    unreachableMilliseconds: z.number().optional(),
    /** Host that handed the request over; absent for callers of this host. */
    from: z.string().optional(),
    /** What the decision was based on, if it follows from the configuration alone. */
    knowledge: z
      .object({
        /** Time since the version became active on this host. */
        versionAgeMilliseconds: z.number(),
        /** Version of the configuration in this host's replica of the store. */
        heldVersion: z.number().optional(),
        /** Store revision up to which this host knows every change. */
        revision: z.number(),
        /** Last confirmation that the host was up to date: `store`, or a peer. */
        confirmedBy: z.string(),
        /** Calls to peers for changes since the start, and how many of them failed. */
        peerCalls: z.number(),
        failedPeerCalls: z.number(),
        /** Newest revision that a peer has and this host lacks, and how long it has lacked one. */
        missingRevision: z.number().optional(),
        missingMilliseconds: z.number().optional(),
        /** Time for which the oldest call to a peer has been without an answer. */
        pendingCallMilliseconds: z.number().optional(),
        /** Delay of the event loop, as last measured. */
        eventLoopDelayMilliseconds: z.number(),
        hostAgeMilliseconds: z.number(),
      })
      .optional(),
  }),
  /** A target answered a request late, after more than one attempt, or with an error. */
  z.object({
    event: z.literal('answered'),
    ...requestFields,
    status: z.number(),
    target: z.string(),
    attempts: z.number(),
    milliseconds: z.number(),
    load: z.number(),
    /** Load per slot of the target when the request was sent to it. */
    loadPerSlot: z.number().optional(),
    /** Whether the target was expected to have the object cached. */
    isKnownObject: z.boolean().optional(),
    /** Time from arrival until the request was sent to the target that answered. */
    waitedMilliseconds: z.number().optional(),
    ...sendTraceFields,
    /** Host that handed the request over; absent for callers of this host. */
    from: z.string().optional(),
  }),
  /** A large answer was passed on only in part. */
  z.object({
    event: z.literal('transfer-ended'),
    requestId: z.string(),
    route: z.string(),
    end: z.enum(['complete', 'broken', 'stalled', 'caller-gone']),
    milliseconds: z.number(),
  }),
  /** Accounts begin or cease to get less of a service than they ask for, with the inputs. */
  z.object({
    event: z.literal('fair-parts'),
    service: z.string(),
    /** Requests per second that accounts get over all hosts; the first few. */
    parts: z.array(z.object({ account: z.string(), partPerSecond: z.number() })),
    count: z.number(),
    slots: z.number(),
    load: z.number(),
    /** Slots that all callers' requests would take. */
    work: z.number().optional(),
    reportAgeMilliseconds: z.number(),
  }),
  /** The placement of a service's keys, with its inputs. */
  z.object({
    event: z.literal('placement'),
    service: z.string(),
    /**
     * Fraction of the keys served in their own region, with the demand per second of its callers.
     */
    regions: z.array(
      z.object({
        region: z.string(),
        homeShare: z.number(),
        slots: z.number(),
        work: z.number().optional(),
      }),
    ),
  }),
  ...processorEvents,
  /** Periodic counts of requests. */
  z.object({
    event: z.literal('summary'),
    answered: z.number(),
    dropped: z.number(),
    inFlight: z.number(),
    /** Bytes of datagrams to peers since the last summary. */
    datagramBytes: z.number(),
    /** Size of the largest datagram since the start. */
    largestDatagramBytes: z.number(),
  }),
]);

export type EntryEvent = z.infer<typeof eventSchema>;
