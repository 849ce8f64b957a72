import { parseScenario } from '../src/index.js';
import type { Scenario } from '../src/index.js';

/** A small deployment of two regions; lines are added at its end. */
export function scenarioText(more = ''): string {
  return `
[deployment]
hosts = 4
seconds = 10
inRegionMilliseconds = 1
betweenRegionsMilliseconds = 20
toCallersMilliseconds = 8
[regions.north]
requestsPerSecond = 40
[regions.south]
requestsPerSecond = 40
[services.lookups]
slots = 5
holds = 50
[services.lookups.targets]
north = 3
south = 3
[classes.lookup]
service = lookups
share = 1
objects = 20
knownMilliseconds = 100
unknownMilliseconds = 330
objectiveMilliseconds = 250
timeoutMilliseconds = 800
deadlineMilliseconds = 2000
${more}`;
}

export function makeScenario(more = ''): Scenario {
  return parseScenario(scenarioText(more)).unwrap();
}
