import {
  AllotmentLedger,
  ConfigurationReplica,
  ConfigurationService,
  ConfigurationSync,
  LimitRegister,
  Membership,
  PeerClient,
  PositionHolder,
  RATE_LOAN_MILLISECONDS,
  RateShares,
  SlotLoans,
} from '@ferrylock/control';
import type { MemberIdentity, PeerRouter, PeerTransport } from '@ferrylock/control';
import { checkConnection } from '@ferrylock/entry';
import type { HostDirectory, KeyValueStore } from '@ferrylock/platform';
import type { Clock, Logger, Random } from '@ferrylock/utils';
import { restMetrics } from './metrics/rest-metrics.js';
import { ServiceMetrics } from './metrics/service-metrics.js';
import { KeyRegister } from './request/key-register.js';
import { RequestPath } from './request/request-path.js';
import { SuspectWatch } from './suspects/suspect-watch.js';
import { TargetClient } from './request/target-client.js';
import { TargetWords } from './request/target-words.js';
import { OperatorCalls } from './rpc/operator-calls.js';
import { LookupService } from './services/lookup-service.js';
import { PlacementSeeder } from './services/placement-seeder.js';
import { ServiceDirectory } from './services/service-directory.js';
import { TargetProber } from './services/target-prober.js';
import { layoutOf } from './settings/settings.js';
import type { Settings } from './settings/settings.js';

/** A loan of a slot may last this much longer than the longest deadline. */
const LOAN_MARGIN_MILLISECONDS = 2_000;

/** The outside systems and sources that a daemon works with. */
export interface Adapters {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly store: KeyValueStore;
  readonly hostDirectory: HostDirectory;
  readonly peerTransport: PeerTransport;
}

/** The parts of a running daemon. */
export interface Components {
  readonly replica: ConfigurationReplica;
  readonly membership: Membership;
  readonly sync: ConfigurationSync;
  readonly ledger: AllotmentLedger;
  readonly positions: PositionHolder;
  readonly rates: RateShares;
  readonly slotLoans: SlotLoans;
  readonly directory: ServiceDirectory;
  readonly prober: TargetProber;
  readonly seeder: PlacementSeeder;
  readonly lookup: LookupService;
  readonly keys: KeyRegister;
  readonly client: TargetClient;
  readonly requestPath: RequestPath;
  /** Figures in the Prometheus text format. */
  readonly metricsText: () => string;
  readonly operatorCalls: OperatorCalls;
}

/** Builds the parts of a daemon and connects them with one another; nothing runs yet. */
export function buildComponents(
  settings: Settings,
  identity: MemberIdentity,
  adapters: Adapters,
  router: PeerRouter,
): Components {
  const { clock, random, logger, store, hostDirectory } = adapters;
  const common = { clock, random, logger };
  const entryPlace = { failureDomain: identity.failureDomain, region: identity.region };
  const peers = new PeerClient(adapters.peerTransport);
  const replica = new ConfigurationReplica();
  const register = new LimitRegister();
  const metrics = new ServiceMetrics();
  const client = new TargetClient();
  const keys = new KeyRegister(identity.incarnation, clock, settings.memory.keysPerAccount);

  const membership = new Membership({ ...common, identity, peers, directory: hostDirectory });
  const sync = new ConfigurationSync({ ...common, replica, store, membership, peers });
  const positions: PositionHolder = new PositionHolder({
    ...common,
    layout: layoutOf(settings),
    store,
    membership,
    peers,
    register,
    longestUseMilliseconds: () =>
      Math.max(RATE_LOAN_MILLISECONDS, directory.longestDeadlineMilliseconds()) +
      LOAN_MARGIN_MILLISECONDS,
    usageFits: () => ledger.lentFits() && directory.usageFits(),
  });
  const ledger = new AllotmentLedger(clock, positions);
  const rates = new RateShares({ ...common, ledger, register, membership, peers });
  const slotLoans = new SlotLoans({ ...common, ledger, membership, peers });
  const directory = new ServiceDirectory(replica, register, {
    clock,
    rates,
    service: { entryPlace, ledger, slotLoans, clock, random },
  });
  membership.addParticipant(sync);
  membership.addParticipant(positions);
  membership.onLeavingAddresses((addresses) => {
    directory.setLeavingAddresses(addresses);
  });
  for (const component of [membership, sync, positions, rates, slotLoans]) {
    component.register(router);
  }

  const lookup = new LookupService({
    directory,
    membership,
    lifetimeSeconds: settings.lookup.lifetimeSeconds,
    hostsInAnswer: settings.lookup.hostsInAnswer,
  });
  const suspects = new SuspectWatch({
    clock,
    logger,
    random,
    membership,
    checkConnection,
    otherTargets: (address) =>
      directory
        .allServices()
        .flatMap(({ targets }) => targets.all())
        .filter((target) => target.address !== address && !target.leaving && !target.drained)
        .map((target) => target.address),
  });
  membership.addParticipant(suspects);
  const words = new TargetWords({ clock, logger, allotment: rates });
  const requestPath = new RequestPath({
    words,
    suspects,
    clock,
    logger,
    client,
    keys,
    membership,
    metrics,
    entryPlace,
    logRequests: settings.log.requests,
    smallBodyBytes: settings.memory.smallBodyBytes,
    requestsInFlight: settings.memory.requestsInFlight,
  });
  const configuration = new ConfigurationService({
    store,
    replica,
    clock,
    logger,
    onStored: (document) => {
      sync.spread(document);
    },
  });
  const operatorCalls = new OperatorCalls({
    configuration,
    replica,
    sync,
    membership,
    peers,
    directory,
    lookup,
    metrics,
  });
  const prober = new TargetProber({ ...common, directory, words });
  const seeder = new PlacementSeeder({ ...common, directory, membership, peers });
  seeder.register(router);
  return {
    replica,
    membership,
    sync,
    ledger,
    positions,
    rates,
    slotLoans,
    directory,
    prober,
    seeder,
    lookup,
    keys,
    client,
    requestPath,
    metricsText: () => metrics.prometheusText() + restMetrics({ clock, words, directory }),
    operatorCalls,
  };
}
