import { z } from 'zod';

/** A figure of an account that may not be below zero; the error tells the value. */
const atLeastZero = z.number().nonnegative({
  error: ({ input }) => `expected 0 or more, got ${String(input)}`,
});

/** Who may ask, by which keys, how much, how urgently and where. */
export const clientAccountSchema = z.object({
  name: z.string().min(1, 'expected a name, got none'),
  /** What its callers show; each belongs to one account alone. */
  keys: z.array(z.string().min(1, 'expected a key, got none')),
  /** Requests a second over all entry hosts; 0 means no limit. */
  requestsPerSecond: atLeastZero,
  /** Requests that may come on top of that in any window. */
  burst: atLeastZero,
  /** Rank under overload, before that of the route; 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Regions whose targets alone may serve it; empty where any may. */
  homeRegions: z.array(z.string()),
});

export type ClientAccount = z.infer<typeof clientAccountSchema>;

/** All accounts of a configuration: names and keys stand once. An error tells of places, never of a key. */
export const clientAccountsSchema = z
  .array(clientAccountSchema)
  .superRefine((accounts, context) => {
    const placeOfName = new Map<string, number>();
    const ownerOfKey = new Map<string, string>();
    for (const [index, { name, keys }] of accounts.entries()) {
      if (placeOfName.has(name)) {
        context.addIssue({
          code: 'custom',
          path: [index, 'name'],
          message: `"${name}" stands twice`,
        });
      }
      placeOfName.set(name, index);
      for (const [place, key] of keys.entries()) {
        const owner = ownerOfKey.get(key);
        if (owner !== undefined && owner !== name) {
          const message = `the key is also held by "${owner}"`;
          context.addIssue({ code: 'custom', path: [index, 'keys', place], message });
        }
        ownerOfKey.set(key, name);
      }
    }
  });
