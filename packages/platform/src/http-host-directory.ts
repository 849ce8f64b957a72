import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { request } from 'undici';
import type { HostDirectory, ListedHost } from './host-directory.js';
import { hostListSchema } from './host-directory.js';

const TIMEOUT_MILLISECONDS = 2_000;

/** The host list as a JSON document at a URL. */
export class HttpHostDirectory implements HostDirectory {
  constructor(readonly url: string) {}

  async list(): Promise<Result<readonly ListedHost[], string>> {
    try {
      const response = await request(this.url, {
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return Err(`host list: status ${response.statusCode}`);
      }
      return Ok(hostListSchema.parse(await response.body.json()).hosts);
    } catch (error) {
      return Err(`host list: ${String(error)}`);
    }
  }
}
