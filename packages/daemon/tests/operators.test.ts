import { mkdtempSync, writeFileSync, utimesSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { OperatorClient } from '@ferrylock/cli';
import { rpcErrorCodes } from '@ferrylock/schema';
import type { Declaration } from '@ferrylock/schema';
import { ControlFleet, FakeClock } from '@ferrylock/test-utils';
import { silentLogger } from '@ferrylock/utils';
import { exportJWK, generateKeyPair, SignJWT } from 'jose';
import type { JSONWebKeySet } from 'jose';
import { afterEach, beforeAll, describe, expect, it } from 'vitest';
import { keysFromFile, TOKEN_AUDIENCE, TokenAuthenticator } from '../src/index.js';
import { Fixture } from './daemon-fixture.js';

type SigningKey = Awaited<ReturnType<typeof generateKeyPair>>['privateKey'];

/** Stands for a change that was made, among the codes of those that were not. */
const APPLIED = -1;

let fixture: Fixture | undefined;
let signingKey: SigningKey;
let otherKey: SigningKey;
let keys: JSONWebKeySet;

beforeAll(async () => {
  const own = await generateKeyPair('EdDSA', { extractable: true });
  const other = await generateKeyPair('EdDSA', { extractable: true });
  signingKey = own.privateKey;
  otherKey = other.privateKey;
  keys = { keys: [await exportJWK(own.publicKey)] };
});

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

interface TokenOptions {
  readonly accounts?: Record<string, string>;
  readonly audience?: string;
  readonly expires?: string;
  readonly key?: SigningKey;
}

function makeToken(options: TokenOptions = {}): Promise<string> {
  return new SignJWT({ accounts: options.accounts ?? { atec: 'editor' } })
    .setProtectedHeader({ alg: 'EdDSA' })
    .setSubject('operator@example')
    .setAudience(options.audience ?? TOKEN_AUDIENCE)
    .setExpirationTime(options.expires ?? '1h')
    .sign(options.key ?? signingKey);
}

async function startWithTokens(): Promise<Fixture> {
  fixture = await Fixture.start({
    parts: { authenticator: new TokenAuthenticator(() => Promise.resolve(keys)) },
  });
  return fixture;
}

function client(running: Fixture, token: string | undefined): OperatorClient {
  return new OperatorClient({
    endpoint: `http://${running.daemon.addresses.control}`,
    ...(token === undefined ? {} : { token }),
  });
}

async function applyCode(
  running: Fixture,
  token: string | undefined,
  declaration: Declaration,
): Promise<number> {
  const { account } = declaration;
  const basedOn = running.daemon.components.replica.generation(account);
  const params = { account, changeId: 'change', basedOn, declaration };
  const answer = await client(running, token).call('configuration.apply', params);
  return answer.isOk() ? APPLIED : answer.error.code;
}

describe('operators’ tokens', () => {
  it('let an editor change its own account, and name it in the history', async () => {
    const running = await startWithTokens();
    const declaration = ControlFleet.declaration('skovlund');
    const token = await makeToken({ accounts: { skovlund: 'editor' } });
    expect(await applyCode(running, token, declaration)).toBe(APPLIED);
    const history = await client(running, token).call('configuration.history', {
      account: 'skovlund',
    });
    expect(history.unwrap().changes[0]).toMatchObject({
      author: 'operator@example',
      generation: 1,
    });
  });

  it.each<[string, TokenOptions]>([
    ['another account’s editor', { accounts: { skovlund: 'editor' } }],
    ['a reader', { accounts: { atec: 'reader' } }],
    ['no account at all', { accounts: {} }],
    ['an account named like an object’s property', { accounts: { constructor: 'editor' } }],
    ['a token that has expired', { expires: '-1m' }],
    ['a token for another audience', { audience: 'elsewhere' }],
  ])('refuse %s', async (_name, options) => {
    const running = await startWithTokens();
    const before = running.daemon.components.replica.get('atec');
    const code = await applyCode(
      running,
      await makeToken(options),
      ControlFleet.declaration('atec'),
    );
    expect(code).toBe(rpcErrorCodes.notPermitted);
    expect(running.daemon.components.replica.get('atec')).toBe(before);
  });

  it('refuse a token signed with another key, and none at all', async () => {
    const running = await startWithTokens();
    const declaration = ControlFleet.declaration('atec');
    const forged = await makeToken({ key: otherKey });
    expect(await applyCode(running, forged, declaration)).toBe(rpcErrorCodes.notPermitted);
    expect(await applyCode(running, undefined, declaration)).toBe(rpcErrorCodes.notPermitted);
  });

  it('show a reader of one account nothing of another', async () => {
    const running = await startWithTokens();
    const token = await makeToken({ accounts: { skovlund: 'reader' } });
    const answer = await client(running, token).call('configuration.get', { account: 'atec' });
    expect(answer.unwrapErr().code).toBe(rpcErrorCodes.notPermitted);
  });

  it('are closed where the settings name no keys', async () => {
    fixture = await Fixture.start({});
    const answer = await client(fixture, undefined).call('configuration.get', { account: 'atec' });
    expect(answer.unwrapErr().code).toBe(rpcErrorCodes.notPermitted);
  });

  it('take up new keys from the file, and keep the old ones while it is broken', async () => {
    const file = join(mkdtempSync(join(tmpdir(), 'ferrylock-')), 'keys.json');
    const clock = new FakeClock();
    const write = (text: string, seconds: number): void => {
      writeFileSync(file, text);
      utimesSync(file, seconds, seconds);
    };
    write(JSON.stringify(keys), 1);
    const authenticator = new TokenAuthenticator(keysFromFile(file, clock, silentLogger));
    const bearer = `Bearer ${await makeToken()}`;
    expect((await authenticator.authenticate(bearer)).isOk()).toBe(true);
    write('{ broken', 2);
    await clock.advance(5_000);
    expect((await authenticator.authenticate(bearer)).isOk()).toBe(true);
    const other = await generateKeyPair('EdDSA', { extractable: true });
    write(JSON.stringify({ keys: [await exportJWK(other.publicKey)] }), 3);
    await clock.advance(5_000);
    expect((await authenticator.authenticate(bearer)).isOk()).toBe(false);
  });
});

describe('operators’ calls', () => {
  async function post(
    running: Fixture,
    body: string,
    token: string,
  ): Promise<{ error?: { code: number; message: string } }> {
    const response = await fetch(`http://${running.daemon.addresses.control}/rpc`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${token}` },
      body,
    });
    return (await response.json()) as { error?: { code: number; message: string } };
  }

  it.each([
    ['broken JSON', '{"jsonrpc":', -32_700],
    ['an unknown method', '{"jsonrpc":"2.0","id":1,"method":"nothing"}', -32_601],
    [
      'a missing field',
      '{"jsonrpc":"2.0","id":1,"method":"configuration.get","params":{}}',
      -32_602,
    ],
  ])('answer %s with its code', async (_name, body, code) => {
    const running = await startWithTokens();
    expect((await post(running, body, await makeToken())).error?.code).toBe(code);
  });

  it('publish their description', async () => {
    const running = await startWithTokens();
    const body = '{"jsonrpc":"2.0","id":1,"method":"rpc.discover"}';
    const answer = (await post(running, body, await makeToken())) as {
      result?: { openrpc: string };
    };
    expect(answer.result?.openrpc).toBe('1.3.2');
  });

  it('refuse a host name that another account has declared', async () => {
    const running = await startWithTokens();
    const token = await makeToken({ accounts: { skovlund: 'editor', atec: 'editor' } });
    const first = ControlFleet.declaration('skovlund');
    const named = { ...first.services['verdict-api'], hostNames: ['verdicts.example'] };
    const services = { 'verdict-api': named } as Declaration['services'];
    expect(await applyCode(running, token, { ...first, services })).toBe(APPLIED);
    const second = { ...ControlFleet.declaration('atec'), services };
    expect(await applyCode(running, token, second)).toBe(rpcErrorCodes.invalidParams);
  });
});
