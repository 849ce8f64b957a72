/** Counts of what became of requests. */
export class RequestMetrics {
  inFlight = 0;
  answered = 0;
  retries = 0;
  readonly refusals = new Map<string, number>();

  countRefusal(reason: string): void {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
  }
}
