import { rendezvousRank } from '@ferrylock/utils';
import type { DistanceMap, Place } from './distance-map.js';

/** An entry host that callers may be sent to. */
export interface EntryHost extends Place {
  readonly id: string;
  readonly trafficAddress: string;
}

export interface RankingRequest {
  readonly hosts: readonly EntryHost[];
  /** The caller's place; where it is not known, all hosts are equally near. */
  readonly callerPlace: Place | undefined;
  /** Same text, same order among equally near hosts: the caller's block and service. */
  readonly stickyKey: string;
  readonly distances: DistanceMap;
  readonly maximum: number;
}

/**
 * Entry hosts for a caller, best first: near ones before far ones, and among equally near ones an
 * order that stays the same for the same block. A host's end therefore moves only its own callers,
 * and spreads them over all the others.
 */
export function rankEntryHosts(request: RankingRequest): EntryHost[] {
  const { callerPlace, distances } = request;
  const ranked = rendezvousRank(request.stickyKey, request.hosts, (host) => host.id);
  if (callerPlace === undefined) {
    return ranked.slice(0, request.maximum);
  }
  const withDistance = ranked.map((host, order) => ({
    host,
    order,
    region: host.region === callerPlace.region ? 0 : 1,
    delay: distances.milliseconds(callerPlace, host),
  }));
  withDistance.sort(
    (a, b) => a.region - b.region || byDelayAcrossRegions(a, b) || a.order - b.order,
  );
  return withDistance.slice(0, request.maximum).map((entry) => entry.host);
}

/** Within the caller's region hosts share the load; beyond it nearness decides. */
function byDelayAcrossRegions(
  a: { region: number; delay: number },
  b: { region: number; delay: number },
): number {
  return a.region === 0 ? 0 : a.delay - b.delay;
}
