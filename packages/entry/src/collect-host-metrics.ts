import type { FairAdmission } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';
import type { FleetMember } from './fleet-member.js';
import { reportedEpochOf } from './fleet/store-position.js';
import type { HandoverController } from './handover/handover-controller.js';
import type { HandoverReceiver } from './handover/handover-receiver.js';
import type { HostMetrics } from './metrics-text.js';
import type { EndlessAnswerCounts } from './request/endless-answer-counts.js';
import type { RegionOverflow } from './region-overflow.js';
import type { RequestQueue } from './queue/request-queue.js';
import type { StrayRecorder } from './request/stray-recorder.js';
import type { TargetClient } from './request/target-client.js';
import type { TargetSignalRecorder } from './request/target-signal-recorder.js';
import type { ConnectionPool } from './servers/connection-pool.js';
import { limitedTargets } from './routing/limited-targets.js';
import { restingTargets } from './routing/resting-targets.js';
import type { ByteBudget } from './transfers/byte-budget.js';
import type { TargetCrashDetector } from './suspects/target-crash-detector.js';

/** Limit on accounts of which the parts are listed. */
const MAX_PARTS = 20;

export interface HostMetricsSources {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly member: FleetMember;
  readonly crashDetector: TargetCrashDetector;
  readonly signalRecorder: TargetSignalRecorder;
  readonly strayRecorder: StrayRecorder;
  readonly endlessAnswers: EndlessAnswerCounts;
  readonly client: Pick<TargetClient, 'resetAnswers'>;
  readonly handovers: HandoverController;
  readonly handoverReceiver: HandoverReceiver;
  readonly budget: ByteBudget;
  readonly fairAdmission: FairAdmission;
  readonly queue: RequestQueue;
  readonly overflow: RegionOverflow;
  readonly pool: ConnectionPool;
}

/** Collects the metrics of an entry host from its parts. */
export function collectHostMetrics({
  clock,
  events,
  member,
  crashDetector,
  signalRecorder,
  strayRecorder,
  endlessAnswers,
  client,
  handovers,
  handoverReceiver,
  budget,
  fairAdmission,
  queue,
  overflow,
  pool,
}: HostMetricsSources): HostMetrics {
  const { view, peers, state, hosts, limits, reachability, storeProgress, viewExchange } = member;
  const services = [...state.services];
  return {
    beliefAgeMilliseconds: clock.now() - view.confirmedAt,
    knownRevision: view.revision,
    store: {
      epoch: Math.max(storeProgress.epoch, reportedEpochOf(view.epoch)),
      revision: storeProgress.revision,
      refusedListings: storeProgress.refusedListings,
    },
    datagrams: member.datagrams,
    peerCalls: { total: viewExchange.calls, failed: viewExchange.failedCalls },
    acceptDelays: queue.accepts.bounds,
    ports: pool.ports,
    queue,
    overflowShares: overflow.shares,
    changeDelays: member.changeDelays,
    configurationVersion: state.active?.version,
    configurationProblems: state.active?.problems ?? [],
    peersHeard: hosts.filter((host) => peers.isAlive(host)).length,
    reachesNone: reachability.reachesNone,
    unreachableDomains: reachability.unreachableDomains.length,
    handovers: handovers.counts,
    handoversTaken: handoverReceiver.taken,
    handoversRejected: handoverReceiver.rejected,
    targetsKnown: services.reduce((sum, { targets }) => sum + targets.size, 0),
    heldBodyBytes: budget.heldBytes,
    rooms: services.map(({ name, room }) => ({ service: name, ...room })),
    retryBudgets: services.map(({ name, retryBudget }) => ({
      service: name,
      ...retryBudget.state,
    })),
    parts: fairAdmission.parts.slice(0, MAX_PARTS),
    refusedOverPart: fairAdmission.refused,
    logLinesDropped: events.dropped,
    unreadableRecords: events.unreadable,
    taskFailures: events.taskFailures,
    targetsEnded: crashDetector.crashes,
    strayResponses: strayRecorder.counts,
    endlessAnswers: endlessAnswers.counts,
    resetAnswers: client.resetAnswers,
    rests: signalRecorder.rests,
    unwantedSends: signalRecorder.unwantedSends,
    targetsSaidLeaving: signalRecorder.leaving,
    resting: restingTargets(services, clock.now()),
    limits: signalRecorder.limits,
    limitedSends: signalRecorder.limitedSends,
    limited: limitedTargets(services, limits.limits),
    suspectRequests: member.suspects.table.suspects.length,
  };
}
