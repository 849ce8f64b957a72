import type { FastifyServerOptions } from 'fastify';

/** Called only where a route described its bodies; none does. */
function compileNothing(): never {
  throw new Error('no route here describes its bodies to the framework');
}

/**
 * Options of servers whose bodies are not described to the framework: the compilers of descriptions
 * that it would load otherwise are half of the program's code and are never used.
 */
export const SCHEMALESS_SERVER_OPTIONS = {
  logger: false,
  schemaController: {
    compilersFactory: { buildValidator: compileNothing, buildSerializer: compileNothing },
  },
} as const satisfies FastifyServerOptions;
