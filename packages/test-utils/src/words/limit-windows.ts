/** How long the windows are in which requests at a target are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 4_000;
/** From a target's first word of a limit until it is to be kept. */
const GRACE_MILLISECONDS = 4_000;
/** From a host's hearing of a limit until it is to heed it. */
const HEARD_AFTER_MILLISECONDS = 500;
/** What a window may hold beyond what is named, as a factor and as requests on top. */
const BORNE_FACTOR = 1.5;
const BORNE_REQUESTS = 5;
const MILLISECONDS_PER_SECOND = 1_000;

/** One request that reached a target. */
export interface ArrivalAtLimit {
  readonly host: string;
  readonly at: number;
  /** Requests a second that the target named in its answer; undefined where it named none. */
  readonly limitPerSecond: number | undefined;
}

/** The fullest window of a target while it named a limit, beside what it may hold. */
export interface LimitWindow {
  /** When it ended. */
  readonly at: number;
  /** Requests from hosts that had heard the limit half a second before. */
  readonly fromTold: number;
  /** Requests from all hosts. */
  readonly arrived: number;
  /** What was named, for the whole window. */
  readonly named: number;
  /** What the users bear. */
  readonly borne: number;
}

/** A time in which all answers of a target named a limit. */
interface Episode {
  readonly from: number;
  readonly arrivals: readonly ArrivalAtLimit[];
}

/**
 * The fullest windows of one target: one for each time in which it named a limit without a break, from when it is to be kept.
 * Of a limit that changes, the largest that was named within a window or shortly before counts for it.
 *
 * @param arrivals - in their order
 */
export function fullestLimitWindows(arrivals: readonly ArrivalAtLimit[]): LimitWindow[] {
  return episodes(arrivals).flatMap((episode) => {
    const windows = windowsOf(episode);
    const [first, ...others] = windows;
    return first === undefined
      ? []
      : [others.reduce((most, one) => (excess(one) > excess(most) ? one : most), first)];
  });
}

/** Requests a second that reached a target while it named a limit and that was to be kept; undefined where that was not a window long. */
export function rateAtLimit(arrivals: readonly ArrivalAtLimit[]): number | undefined {
  let counted = 0;
  let milliseconds = 0;
  for (const { from, arrivals: within } of episodes(arrivals)) {
    const kept = within.filter(({ at }) => at > from + GRACE_MILLISECONDS);
    counted += Math.max(0, kept.length - 1);
    milliseconds += (kept.at(-1)?.at ?? 0) - (kept[0]?.at ?? 0);
  }
  return milliseconds < WINDOW_MILLISECONDS
    ? undefined
    : (counted * MILLISECONDS_PER_SECOND) / milliseconds;
}

function excess({ fromTold, borne }: LimitWindow): number {
  return fromTold - borne;
}

function episodes(arrivals: readonly ArrivalAtLimit[]): Episode[] {
  const found: { from: number; arrivals: ArrivalAtLimit[] }[] = [];
  let isOn = false;
  for (const arrival of arrivals) {
    const isNamed = arrival.limitPerSecond !== undefined;
    if (isNamed && !isOn) {
      found.push({ from: arrival.at, arrivals: [] });
    }
    if (isNamed) {
      found.at(-1)?.arrivals.push(arrival);
    }
    isOn = isNamed;
  }
  return found;
}

function windowsOf({ from, arrivals }: Episode): LimitWindow[] {
  const heardAt = new Map<string, number>();
  for (const { host, at } of arrivals) {
    heardAt.set(host, heardAt.get(host) ?? at);
  }
  const isTold = ({ host, at }: ArrivalAtLimit): boolean =>
    at >= (heardAt.get(host) ?? Infinity) + HEARD_AFTER_MILLISECONDS;
  let first = 0;
  return arrivals.flatMap((last, index) => {
    while ((arrivals[first]?.at ?? Infinity) <= last.at - WINDOW_MILLISECONDS) {
      first++;
    }
    if (last.at < from + GRACE_MILLISECONDS) {
      return [];
    }
    const within = arrivals.slice(first, index + 1);
    const before = arrivals[first - 1] ?? last;
    const most = Math.max(...[before, ...within].map(({ limitPerSecond = 0 }) => limitPerSecond));
    const named = (most * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return {
      at: last.at,
      fromTold: within.filter(isTold).length,
      arrived: within.length,
      named,
      borne: BORNE_FACTOR * named + BORNE_REQUESTS,
    };
  });
}
