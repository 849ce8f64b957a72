export { compare, differences, spreadOf } from './comparison.js';
export type { Comparison, ComparisonOptions, Spread, WayPlayed } from './comparison.js';
export { Experiment } from './experiment.js';
export type { ExperimentOptions, Play } from './experiment.js';
export type { Outcome } from './outcome.js';
export { parseScenario, withHosts } from './scenario.js';
export type { Scenario, ScenarioEvent } from './scenario.js';
