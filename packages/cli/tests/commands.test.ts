import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { rpcErrorCodes } from '@ferrylock/schema';
import { afterEach, describe, expect, it } from 'vitest';
import { Commands, exitCodes } from '../src/index.js';

interface Call {
  readonly method: string;
  readonly params: Record<string, unknown>;
}

type Answer = { result: unknown } | { error: { code: number; message: string } };

const servers: Server[] = [];

afterEach(async () => {
  await Promise.all(
    servers.splice(0).map((server) => new Promise((resolve) => server.close(resolve))),
  );
});

/** A daemon that gives the same answer to each method, and keeps what it was asked. */
async function startDaemon(
  answers: Record<string, Answer>,
): Promise<{ endpoint: string; calls: Call[] }> {
  const calls: Call[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const call = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Call;
      calls.push(call);
      response.setHeader('connection', 'close');
      response.end(JSON.stringify({ jsonrpc: '2.0', id: 1, ...answers[call.method] }));
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { endpoint: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, calls };
}

function makeCommands(): { commands: Commands; printed: string[]; failed: string[] } {
  const printed: string[] = [];
  const failed: string[] = [];
  const commands = new Commands({
    print: (text) => printed.push(text),
    fail: (text) => failed.push(text),
  });
  return { commands, printed, failed };
}

function fileWith(text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), 'ferrylock-')), 'declaration.ini');
  writeFileSync(file, text);
  return file;
}

const current: Answer = {
  result: { generation: 4, declaration: { account: 'atec', share: 1 }, drains: [] },
};
const applied: Answer = { result: { generation: 5, alreadyApplied: false } };

describe('ferrylock', () => {
  it('applies a file on top of the generation in force', async () => {
    const { endpoint, calls } = await startDaemon({
      'configuration.get': current,
      'configuration.apply': applied,
    });
    const { commands, printed } = makeCommands();
    expect(await commands.apply(fileWith('account = atec'), { endpoint })).toBe(exitCodes.done);
    expect(calls[1]?.params).toMatchObject({ account: 'atec', basedOn: 4 });
    expect(printed).toEqual(['generation 5']);
  });

  it.each([
    [rpcErrorCodes.conflict, exitCodes.conflict],
    [rpcErrorCodes.outcomeUnknown, exitCodes.outcomeUnknown],
    [rpcErrorCodes.notPermitted, exitCodes.notPermitted],
    [rpcErrorCodes.invalidParams, exitCodes.badInput],
    [rpcErrorCodes.storeUnavailable, exitCodes.failed],
  ])('ends with its own code for error %i', async (code, exitCode) => {
    const { endpoint } = await startDaemon({
      'configuration.get': current,
      'configuration.apply': { error: { code, message: 'refused' } },
    });
    const { commands, failed } = makeCommands();
    expect(await commands.apply(fileWith('account = atec'), { endpoint })).toBe(exitCode);
    expect(failed.join()).toContain('refused');
    expect(failed.join().includes('--change-id')).toBe(exitCode === exitCodes.outcomeUnknown);
  });

  it('names every fault of a file and calls nobody', async () => {
    const { endpoint, calls } = await startDaemon({});
    const { commands, failed } = makeCommands();
    const file = fileWith('account = atec\ncolour = red\n[services.desk]\nrepeat = sometimes');
    expect(await commands.apply(file, { endpoint })).toBe(exitCodes.badInput);
    expect(failed.join()).toMatch(
      /colour[\s\S]*services\.desk\.repeat|services\.desk\.repeat[\s\S]*colour/,
    );
    expect(calls).toHaveLength(0);
  });

  it.each([
    ['an unknown scope', 'zone', {}, /target, host or failure-domain/],
    ['a target without its service', 'target', {}, /--service/],
    ['no account', 'host', { account: undefined }, /--account/],
  ])('refuses a drain with %s', async (_name, scope, options, message) => {
    const { commands, failed } = makeCommands();
    const given = { endpoint: 'http://127.0.0.1:1', account: 'atec', ...options };
    expect(await commands.drain(scope, 'x', given as never)).toBe(exitCodes.badInput);
    expect(failed.join()).toMatch(message);
  });

  it('shows what a file would change', async () => {
    const { endpoint } = await startDaemon({ 'configuration.get': current });
    const { commands, printed } = makeCommands();
    await commands.diff(fileWith('account = atec\nshare = 2'), { endpoint });
    expect(printed.join()).toContain('~ share: 1 -> 2');
  });

  it('prints one line of JSON when asked to', async () => {
    const { endpoint } = await startDaemon({ 'configuration.get': current });
    const { commands, printed } = makeCommands();
    await commands.get({ endpoint, account: 'atec', json: true });
    expect(JSON.parse(printed.join())).toMatchObject({ generation: 4 });
  });

  it('ends with a failure when no daemon answers', async () => {
    const { commands, failed } = makeCommands();
    const exitCode = await commands.get({ endpoint: 'http://127.0.0.1:1', account: 'atec' });
    expect(exitCode).toBe(exitCodes.failed);
    expect(failed.join()).toContain('no answer');
  });
});
