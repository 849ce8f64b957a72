import type { Result } from 'ts-results-es';
import { z } from 'zod';

/** A host as the platform lists it. The list lags behind the truth. */
export const listedHostSchema = z.object({
  id: z.string(),
  /** IP number of the host. */
  address: z.string(),
  /** Address and port of the control listener, where a daemon runs on the host. */
  controlAddress: z.string().optional(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedHost = z.infer<typeof listedHostSchema>;

export const hostListSchema = z.object({ hosts: z.array(listedHostSchema) });

/** The platform's list of live and leaving hosts. */
export interface HostDirectory {
  list(): Promise<Result<readonly ListedHost[], string>>;
}
