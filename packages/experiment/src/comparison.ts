import type { DisabledMechanisms, Mechanism } from '@ferrylock/routing';
import { NO_DISABLED_MECHANISMS } from '@ferrylock/routing';
import type { Play } from './experiment.js';
import { Experiment } from './experiment.js';
import type { Outcome } from './outcome.js';
import type { Scenario } from './scenario.js';

export interface ComparisonOptions {
  readonly scenario: Scenario;
  /** Mechanisms that are left out, each by itself. */
  readonly disabledMechanisms: DisabledMechanisms;
  /** Plays of each way; those of the same number share their seed. */
  readonly seeds: number;
}

/** All plays of one way. */
export interface WayPlayed {
  /** What is left out; undefined for the product whole. */
  readonly without: Mechanism | undefined;
  readonly plays: readonly Play[];
}

/** The product whole, and without each of some mechanisms, on the same seeds. */
export interface Comparison {
  readonly scenario: Scenario;
  readonly ways: readonly WayPlayed[];
}

export function compare({
  scenario,
  disabledMechanisms: leftOut,
  seeds,
}: ComparisonOptions): Comparison {
  const ways = [undefined, ...leftOut].map((without) => ({
    without,
    plays: playAll(
      scenario,
      without === undefined ? NO_DISABLED_MECHANISMS : new Set([without]),
      seeds,
    ),
  }));
  return { scenario, ways };
}

function playAll(scenario: Scenario, leftOut: DisabledMechanisms, seeds: number): Play[] {
  return Array.from({ length: seeds }, (_, index) =>
    new Experiment({ scenario, seed: index + 1, disabledMechanisms: leftOut }).play(),
  );
}

/** Mean and spread of a figure over plays. */
export interface Spread {
  readonly mean: number;
  readonly least: number;
  readonly most: number;
}

export function spreadOf(values: readonly number[]): Spread {
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return { mean, least: Math.min(...values), most: Math.max(...values) };
}

/** How much a figure of each play lies over that of the whole product's on the same seed. */
export function differences(
  way: WayPlayed,
  whole: WayPlayed,
  figure: (outcome: Outcome) => number,
): number[] {
  return way.plays.map(({ outcome }, index) => {
    const paired = whole.plays[index];
    return figure(outcome) - (paired === undefined ? 0 : figure(paired.outcome));
  });
}
