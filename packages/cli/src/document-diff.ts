/** One difference between two documents. */
export interface Difference {
  readonly path: string;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly before: unknown;
  readonly after: unknown;
}

/** Differences between two documents made of plain objects, by path, in the order of names. */
export function diffDocuments(before: unknown, after: unknown, path = ''): Difference[] {
  if (isRecord(before) && isRecord(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap((name) =>
      diffDocuments(before[name], after[name], path === '' ? name : `${path}.${name}`),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) {
    return [];
  }
  const kind = before === undefined ? 'added' : after === undefined ? 'removed' : 'changed';
  return [{ path, kind, before, after }];
}

/** Differences as lines for people. */
export function formatDifferences(differences: readonly Difference[]): string {
  const lines = differences.map(({ path, kind, before, after }) => {
    switch (kind) {
      case 'added':
        return `+ ${path} = ${JSON.stringify(after)}`;
      case 'removed':
        return `- ${path} = ${JSON.stringify(before)}`;
      case 'changed':
        return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
    }
  });
  return lines.length === 0 ? 'no differences' : lines.join('\n');
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
