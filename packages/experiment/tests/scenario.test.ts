import { readdirSync, readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { parseScenario, withHosts } from '../src/index.js';
import { makeScenario, scenarioText } from './fixtures.js';

describe('parseScenario', () => {
  it.each([
    ['unknown field', scenarioText().replace('hosts = 4', 'hosts = 4\nluck = 1'), 'luck'],
    ['value out of range', scenarioText().replace('slots = 5', 'slots = 0'), 'slots'],
    ['unknown service', scenarioText().replace('service = lookups', 'service = luck'), '"luck"'],
    ['unknown region', scenarioText().replace('south = 3', 'west = 3'), '"west"'],
    ['unknown event', scenarioText('[events.a]\nkind = luck\natSeconds = 1'), 'kind'],
  ])('names what it expects: %s', (_case, text, named) => {
    const problems = parseScenario(text).unwrapErr();
    expect(problems.map(({ field, message }) => `${field}: ${message}`).join('\n')).toContain(
      named,
    );
  });

  it('reads every scenario that is kept', () => {
    const directory = new URL('../scenarios/', import.meta.url);
    const files = readdirSync(directory);
    expect(files.length).toBeGreaterThan(0);
    for (const file of files) {
      expect(parseScenario(readFileSync(new URL(file, directory), 'utf8')).isOk()).toBe(true);
    }
  });
});

describe('withHosts', () => {
  it('changes targets, objects and requests in proportion', () => {
    const grown = withHosts(makeScenario(), 12).unwrap();
    expect(grown.services.lookups?.targets).toEqual({ north: 9, south: 9 });
    expect(grown.classes.lookup?.objects).toBe(60);
    expect(grown.regions.north?.requestsPerSecond).toBe(120);
  });

  it('names what it expects of the number', () => {
    expect(withHosts(makeScenario(), 0.5).unwrapErr()).toContain('hosts: expected a whole number');
  });
});
