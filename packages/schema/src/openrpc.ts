import { z } from 'zod';
import { operatorMethods } from './operator-methods.js';
import { rpcErrorCodes, rpcErrorMeanings } from './rpc-errors.js';

const OPENRPC_VERSION = '1.3.2';

function toJsonSchema(schema: z.ZodType): unknown {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
}

function toParameters(schema: z.ZodObject): unknown[] {
  return Object.entries(schema.shape).map(([name, field]) => ({
    name,
    required: true,
    schema: toJsonSchema(field as z.ZodType),
  }));
}

/** The published description of the operators' calls, in the OpenRPC format. */
export function buildOpenRpcDocument(): unknown {
  const errors = Object.entries(rpcErrorCodes).map(([name, code]) => ({
    code,
    message: rpcErrorMeanings[name as keyof typeof rpcErrorCodes],
  }));
  return {
    openrpc: OPENRPC_VERSION,
    info: { title: 'ferrylock operators', version: '0.1.0', license: { name: 'Apache-2.0' } },
    methods: Object.entries(operatorMethods).map(([name, method]) => ({
      name,
      summary: method.summary,
      paramStructure: 'by-name',
      params: toParameters(method.params),
      result: { name: 'result', schema: toJsonSchema(method.result) },
      errors,
    })),
  };
}

/** The document as the committed file holds it. */
export function formatOpenRpcDocument(): string {
  return `${JSON.stringify(buildOpenRpcDocument(), null, 2)}\n`;
}
