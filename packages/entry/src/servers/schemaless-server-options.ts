import type { FastifyServerOptions } from 'fastify';

function rejectSchema(): never {
  throw new Error('Fastify asked for a schema compiler, but no route may define a schema');
}

/**
 * Options of Fastify servers whose routes define no schemas. Without them Fastify loads its schema
 * compilers, which are half of the program's code and are never used.
 */
export const SCHEMALESS_SERVER_OPTIONS = {
  logger: false,
  schemaController: {
    compilersFactory: { buildValidator: rejectSchema, buildSerializer: rejectSchema },
  },
} as const satisfies FastifyServerOptions;
