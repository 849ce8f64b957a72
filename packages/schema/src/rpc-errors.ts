/** Error codes of the operators' calls, beside those of JSON-RPC 2.0 itself. */
export const rpcErrorCodes = {
  invalidParams: -32_602,
  conflict: 1001,
  storeUnavailable: 1002,
  outcomeUnknown: 1003,
  notFound: 1004,
  tooLarge: 1005,
  notPermitted: 1006,
} as const;

export const rpcErrorMeanings: Readonly<Record<keyof typeof rpcErrorCodes, string>> = {
  invalidParams: 'A field is wrong; data.problems names each field and what was expected.',
  conflict: 'Someone else changed the configuration; data names both generations.',
  storeUnavailable: 'The key-value service cannot be reached. Nothing was changed.',
  outcomeUnknown: 'The change may have been stored. Send it again with the same change id.',
  notFound: 'The account, service or generation is not known.',
  tooLarge: 'The configuration is larger than the key-value service holds. Nothing was changed.',
  notPermitted: 'The token does not permit this call for this account.',
};
