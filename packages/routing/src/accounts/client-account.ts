import { z } from 'zod';

/** Non-negative number; the error contains the value. */
const nonNegative = z.number().nonnegative({
  error: ({ input }) => `expected 0 or more, got ${String(input)}`,
});

/** Client account: its keys, limits, priority and regions. */
export const clientAccountSchema = z.object({
  name: z.string().min(1, 'expected a name, got none'),
  /** Keys that its callers present; each belongs to one account only. */
  keys: z.array(z.string().min(1, 'expected a key, got none')),
  /** Requests per second over all entry hosts; 0 means no limit. */
  requestsPerSecond: nonNegative,
  /** Additional requests allowed in any window. */
  burst: nonNegative,
  /** Priority under overload, ahead of that of the route; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Regions that may serve the account; empty if any may. */
  homeRegions: z.array(z.string()),
});

/** Account that cannot be used; without keys, it may hold any. */
export const unusableAccountSchema = z.object({ keys: z.array(z.string()).optional() });

export type UnusableAccount = z.infer<typeof unusableAccountSchema>;
export type ClientAccount = z.infer<typeof clientAccountSchema>;

/** Accounts of a configuration, with unique names and keys. Errors never contain a key. */
export const clientAccountsSchema = z
  .array(clientAccountSchema)
  .superRefine((accounts, context) => {
    const indexByName = new Map<string, number>();
    const ownerByKey = new Map<string, string>();
    for (const [index, { name, keys }] of accounts.entries()) {
      if (indexByName.has(name)) {
        context.addIssue({
          code: 'custom',
          path: [index, 'name'],
          message: `"${name}" stands twice`,
        });
      }
      indexByName.set(name, index);
      for (const [keyIndex, key] of keys.entries()) {
        const owner = ownerByKey.get(key);
        if (owner !== undefined && owner !== name) {
          const message = `the key is also held by "${owner}"`;
          context.addIssue({ code: 'custom', path: [index, 'keys', keyIndex], message });
        }
        ownerByKey.set(key, name);
      }
    }
  });
