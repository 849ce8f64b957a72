import type { FingerprintedRequest } from '@ferrylock/entry';
import type { Progress } from './exchange.js';
import type { RequestBody } from './request-body.js';

/** What a request is known by when it comes again; a large body is not held, and such a request is not known again. */
export function fingerprintedRequest(
  { request, service, path }: Progress,
  body: RequestBody,
): FingerprintedRequest | undefined {
  return body.isStream
    ? undefined
    : {
        request,
        route: { host: service.service },
        path,
        account: { name: service.account },
        body: body.held ?? undefined,
      };
}
