import { Directory } from './directory.js';
import type { EntryHostSettings } from './entry-host-settings.js';
import type { EntryHostRecord } from './fleet/fleet-record.js';
import type { FleetMember } from './fleet-member.js';
import type { RegionOverflow } from './region-overflow.js';

export interface CreateDirectoryOptions {
  readonly settings: Pick<EntryHostSettings, 'disabledMechanisms' | 'maxDirectoryTtlMilliseconds'>;
  readonly member: Pick<FleetMember, 'view' | 'peers' | 'state' | 'reachability' | 'isLeaving'>;
  readonly overflow: RegionOverflow;
  /** Registration of this host; undefined before its start. */
  readonly ownRecord: () => EntryHostRecord | undefined;
  /** Event loop utilization of this host, from 0 to 1. */
  readonly utilization: () => number;
}

/** Creates the directory of an entry host, which lists the host itself while it accepts callers. */
export function createDirectory(options: CreateDirectoryOptions): Directory {
  const { settings, member, overflow, ownRecord, utilization } = options;
  const { view, peers, state, reachability } = member;
  const isOverflowDisabled = settings.disabledMechanisms.has('region-overflow');
  return new Directory({
    view,
    peers,
    overflow,
    own: () => {
      const host = ownRecord();
      return member.isLeaving || host === undefined
        ? undefined
        : { host, utilization: utilization() };
    },
    reachesNone: () => reachability.reachesNone,
    mayOverflow: (name) => {
      const { active } = state;
      const isAnywhere =
        active?.accountsHaveHomes === false && active.routes.isServedAnywhere(name);
      return isAnywhere && !isOverflowDisabled;
    },
    maxTtlMilliseconds: settings.maxDirectoryTtlMilliseconds,
  });
}
