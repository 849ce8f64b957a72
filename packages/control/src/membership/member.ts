import { z } from 'zod';

export const memberStateSchema = z.enum(['alive', 'leaving', 'suspect', 'dead']);
export type MemberState = z.infer<typeof memberStateSchema>;

/** A daemon as seen by its peers. Each incarnation is a separate member. */
export const memberSchema = z.object({
  id: z.string(),
  /** Random id of the process, which distinguishes it from earlier processes of the host. */
  incarnation: z.string(),
  controlAddress: z.string(),
  trafficAddress: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  state: memberStateSchema,
  /** Incremented only by the member itself, to announce a state or refute a suspicion. */
  version: z.int().min(0),
});
export type Member = z.infer<typeof memberSchema>;

/** Identity that a daemon announces at its start. */
export type MemberIdentity = Omit<Member, 'state' | 'version'>;

/** Precedence of states at equal versions: the higher rank wins. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Key that identifies one process of one host. */
export function memberKey(member: Pick<Member, 'id' | 'incarnation'>): string {
  return `${member.id}#${member.incarnation}`;
}

/** Checks if an update takes precedence over the known state. */
export function supersedes(update: Member, known: Member): boolean {
  if (update.version !== known.version) {
    return update.version > known.version;
  }
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}

/** Checks if a member is not known to be dead, so that it may be called. */
export function isRunning(member: Member): boolean {
  return member.state !== 'dead';
}

/** Checks if a member may be listed to callers and assigned new work. */
export function isServing(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}
