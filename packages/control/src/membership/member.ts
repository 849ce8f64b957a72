import { z } from 'zod';

/** What a daemon is taken to be doing. */
export const memberStateSchema = z.enum(['alive', 'leaving', 'suspect', 'dead']);
export type MemberState = z.infer<typeof memberStateSchema>;

/** A daemon as its peers know it. Each start of a process is a member of its own. */
export const memberSchema = z.object({
  id: z.string(),
  /** Drawn anew by each process, so that a restarted one is not taken for the one before it. */
  incarnation: z.string(),
  controlAddress: z.string(),
  trafficAddress: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  state: memberStateSchema,
  /** Raised by the member alone, to refute what others say of it. */
  version: z.int().min(0),
});
export type Member = z.infer<typeof memberSchema>;

/** What a daemon says of itself when it starts. */
export type MemberIdentity = Omit<Member, 'state' | 'version'>;

/** At the same version the graver state wins; only the member itself can raise the version. */
const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  dead: 3,
};

/** Identifies one process of one host. */
export function memberKey(member: Pick<Member, 'id' | 'incarnation'>): string {
  return `${member.id}#${member.incarnation}`;
}

/** Whether an update says more than what is known. */
export function supersedes(update: Member, known: Member): boolean {
  if (update.version !== known.version) {
    return update.version > known.version;
  }
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}

/** Whether a member may be asked for anything: it runs, as far as is known. */
export function isRunning(member: Member): boolean {
  return member.state !== 'dead';
}

/** Whether a member may be named to callers and given new duties. */
export function isServing(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}
