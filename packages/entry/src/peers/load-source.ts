/** Keys of the sources of load reports: a host, a failure domain, or the whole fleet. */
export const loadSource = {
  host: (name: string): string => `host ${name}`,
  domain: (failureDomain: string): string => `domain ${failureDomain}`,
  fleet: 'fleet',
  isHost: (source: string): boolean => source.startsWith('host '),
  isPartial: (source: string): boolean => source !== 'fleet',
} as const;
