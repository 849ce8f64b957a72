import { configurationStep } from './configuration-step.js';
import type { LogLine } from './log-line.js';

/** Events about the host itself that say what it believed when it decided. */
const BELIEF_EVENTS = new Set([
  'started',
  'stopping',
  'paused',
  'configuration',
  'view',
  'store-lost',
  'store-regained',
  'fetch-failed',
]);
/** Fields that are shown at the start of a line, or that every line has. */
const FRAME_FIELDS = new Set(['message', 'host', 'timestamp', 'level', 'requestId']);

/**
 * Tells a request's story from the lines of several hosts: each decision about it in the order of
 * time, before it what the deciding host had last come to believe, and after it what that host had
 * last said of the target concerned.
 */
export function explainRequest(requestId: string, lines: readonly LogLine[]): string[] {
  const ordered = [...lines].sort((a, b) => Date.parse(a.timestamp) - Date.parse(b.timestamp));
  const beliefs = new Map<string, Map<string, LogLine>>();
  const story: string[] = [];
  for (const line of ordered) {
    if (line.requestId === requestId) {
      const step = configurationStep(line);
      story.push(...beliefsOf(line, beliefs), show(line));
      story.push(...(step === undefined ? [] : [`  configuration: ${step}`]));
    } else if (BELIEF_EVENTS.has(line.message)) {
      remember(line, line.message, beliefs);
    } else if (line.message === 'target' && typeof line.target === 'string') {
      remember(line, line.target, beliefs);
    }
  }
  return story;
}

function remember(line: LogLine, key: string, beliefs: Map<string, Map<string, LogLine>>): void {
  const ofHost = beliefs.get(line.host) ?? new Map<string, LogLine>();
  beliefs.set(line.host, ofHost);
  if (line.message === 'started') {
    ofHost.clear();
  }
  if (line.message === 'store-regained') {
    ofHost.delete('store-lost');
  }
  ofHost.set(key, line);
}

/** What the host believed, told once: later decisions show only what has changed since. */
function beliefsOf(line: LogLine, beliefs: Map<string, Map<string, LogLine>>): string[] {
  const ofHost = beliefs.get(line.host);
  if (ofHost === undefined) {
    return [];
  }
  const concerned = targetsOf(line);
  const told = [...ofHost].filter(([key]) => BELIEF_EVENTS.has(key) || concerned.has(key));
  for (const [key] of told) {
    ofHost.delete(key);
  }
  return told.map(([, belief]) => `  believes since ${show(belief)}`);
}

/** The target that a line is about, or those whose rest or limit is why a request was refused. */
function targetsOf({ target, resting, limited }: LogLine): ReadonlySet<unknown> {
  const named = [resting, limited].filter((names): names is unknown[] => Array.isArray(names));
  return new Set([target, ...named.flat()]);
}

function show(line: LogLine): string {
  const fields = Object.entries(line)
    .filter(([name]) => !FRAME_FIELDS.has(name))
    .map(([name, value]) => `${name}=${showValue(value)}`);
  return [line.timestamp, line.host, line.message, ...fields].join(' ');
}

function showValue(value: unknown): string {
  return typeof value === 'string' && !value.includes(' ') ? value : JSON.stringify(value);
}
