/** Milliseconds of processor time that some work takes. */
export function processorMilliseconds(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000;
}
