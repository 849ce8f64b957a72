import type { FairAdmission, TargetLimits } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { AccountLimitController } from '../accounts/account-limit-controller.js';
import type { RoutingState } from '../routing/routing-state.js';
import type { ResponseWriter } from './response-writer.js';
import type { BodyReader } from './body-reader.js';
import type { HeaderCodec } from './header-codec.js';
import type { EventLog } from '../event-log.js';
import type { HandoverController } from '../handover/handover-controller.js';
import type { RequestQueue } from '../queue/request-queue.js';
import type { TargetReachability } from '../reachability/target-reachability.js';
import type { ByteBudget } from '../transfers/byte-budget.js';
import type { ShutdownWindow } from '../shutdown-window.js';
import type { SuspectController } from '../suspects/suspect-controller.js';
import type { TargetCrashDetector } from '../suspects/target-crash-detector.js';
import type { RequestMetrics } from './request-metrics.js';
import type { StrayRecorder } from './stray-recorder.js';
import type { TargetClient } from './target-client.js';
import type { TargetSignalRecorder } from './target-signal-recorder.js';

export interface RequestForwarderOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly state: RoutingState;
  readonly accounts: AccountLimitController;
  readonly client: TargetClient;
  readonly crashDetector: TargetCrashDetector;
  readonly suspects: SuspectController;
  readonly reachability: TargetReachability;
  readonly handovers: HandoverController;
  readonly signalRecorder: TargetSignalRecorder;
  readonly strayRecorder: StrayRecorder;
  /** Refuses accounts beyond their part of a service that is short of room. */
  readonly fairAdmission: Pick<FairAdmission, 'check'>;
  readonly limits: TargetLimits;
  readonly codec: HeaderCodec;
  readonly bodyReader: BodyReader;
  /** Bounds what is held of requests and answers. */
  readonly budget: ByteBudget;
  readonly responses: ResponseWriter;
  readonly metrics: RequestMetrics;
  readonly shutdownWindow: ShutdownWindow;
  readonly queue: Pick<RequestQueue, 'wait'>;
  readonly ownName: string;
  /** True if the event loop was delayed lately, so that callers may have disconnected unnoticed. */
  readonly isLagging: () => boolean;
  /** Names of the large entry hosts, which send most requests; the same array until they change. */
  readonly largeHosts: () => readonly string[];
}
