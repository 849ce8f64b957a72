import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { parseSettings } from '../../src/index.js';
import { formatSettingsReference } from '../../src/settings/settings-reference.js';

function settingsText(change: (text: string) => string = (text) => text): string {
  return change(
    [
      '[host]',
      'id = entry-1',
      'region = fyn',
      'failureDomain = fyn-1',
      '[listen]',
      'traffic = 127.0.0.1:8080',
      'control = 127.0.0.1:8081',
      '[platform]',
      'store = http://127.0.0.1:2379',
      'hostList = http://127.0.0.1:9000/hosts.json',
      '[positions.fyn-1]',
      'region = fyn',
      'count = 4',
    ].join('\n'),
  );
}

describe('parseSettings', () => {
  it('takes right settings, with one endpoint or several', () => {
    expect(parseSettings(settingsText()).unwrap().platform.store).toEqual([
      'http://127.0.0.1:2379',
    ]);
    const two = settingsText((text) =>
      text.replace('store =', 'store[] = http://10.0.0.1:2379\nstore[] ='),
    );
    expect(parseSettings(two).unwrap().platform.store).toHaveLength(2);
  });

  it.each([
    ['traffic = 127.0.0.1:8080', 'traffic = here', 'listen.traffic', /IP-NUMBER:PORT.*"here"/],
    ['count = 4', 'count = 0', 'positions.fyn-1.count', />=1.*"0"/],
    ['id = entry-1', 'id = entry-1\ncolour = red', 'host', /colour/],
    ['failureDomain = fyn-1', 'failureDomain = fyn-9', 'host.failureDomain', /positions.*fyn-9/],
    ['[listen]', '[lookup]\nlifetimeSeconds = soon\n[listen]', 'lookup.lifetimeSeconds', /"soon"/],
  ])('names what is wrong when "%s" becomes "%s"', (from, to, field, message) => {
    const problems = parseSettings(settingsText((text) => text.replace(from, to))).unwrapErr();
    const found = problems.find((problem) => problem.field === field);
    expect(found?.message, JSON.stringify(problems)).toMatch(message);
  });

  it('names all faults at once', () => {
    expect(parseSettings('[host]\nid = entry-1').unwrapErr().length).toBeGreaterThan(3);
  });
});

describe('settings reference', () => {
  it('is the one that is committed', () => {
    const file = new URL('../../../../docs/operators/settings.md', import.meta.url);
    expect(readFileSync(file, 'utf8')).toBe(formatSettingsReference());
  });
});
