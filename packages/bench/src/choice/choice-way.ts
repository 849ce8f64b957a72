import type { Clock, Random } from '@ferrylock/utils';
import type { TargetModel } from './target-model.js';

/** What all ways have to work with. */
export interface ChoiceSetting {
  readonly clock: Clock;
  readonly random: Random;
  readonly targets: readonly TargetModel[];
  /** Region of each entry host. */
  readonly hostRegions: readonly number[];
  readonly delayMilliseconds: (regionA: number, regionB: number) => number;
  readonly deadlineMilliseconds: number;
}

/** A request's place at a target, to be given back when it has ended. */
export interface Granted {
  readonly target: TargetModel;
  /** Host whose request it is from here on. */
  readonly host: number;
  release(tookMilliseconds: number): void;
}

/** One way in which entry hosts choose targets. */
export interface ChoiceWay {
  /** A target for a request that arrives at a host; undefined where it is refused. */
  choose(host: number, deadlineAt: number): Promise<Granted | undefined>;
  /** Ends what runs in the background. */
  stop(): Promise<void>;
}
