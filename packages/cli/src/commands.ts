import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parseDeclarationText } from '@ferrylock/schema';
import type {
  Declaration,
  Drain,
  OperatorMethod,
  OperatorParams,
  OperatorResult,
} from '@ferrylock/schema';
import { diffDocuments, formatDifferences } from './document-diff.js';
import { explainRequest } from './explain/explain-request.js';
import { readLogs } from './explain/read-logs.js';
import { exitCodeOf, exitCodes } from './exit-codes.js';
import { OperatorClient } from './operator-client.js';
import { formatChanges, formatHosts, formatLookup, formatMetrics } from './text-output.js';

/** Options that every command takes. */
export interface CommonOptions {
  readonly endpoint: string;
  readonly account?: string;
  readonly token?: string;
  readonly json?: boolean;
}

/** Options of commands that change something. */
export interface ChangeOptions extends CommonOptions {
  readonly 'change-id'?: string;
  readonly 'based-on'?: number;
  readonly service?: string;
}

/** Where a command writes, and how it ends. */
export interface Output {
  print(text: string): void;
  fail(text: string): void;
}

/** A command cannot go on; the message has been made for people. */
class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message);
  }
}

/** The commands of the operators' command line. Each resolves with its exit code. */
export class Commands {
  constructor(readonly output: Output) {}

  /** Prints what log files say of one request; asks no daemon. */
  async explain(requestId: string, files: readonly string[]): Promise<number> {
    return this.#run(async () => {
      const story = explainRequest(requestId, await readLogFiles(files));
      if (story.length === 0) {
        throw new CommandError(
          `no line names request ${requestId}: it was answered in time at the first try, ` +
            'its line was dropped (see the summary lines), or it never came to these hosts',
          exitCodes.failed,
        );
      }
      this.output.print(story.join('\n'));
    });
  }

  async apply(file: string, options: ChangeOptions): Promise<number> {
    return this.#run(async () => {
      const declaration = readDeclaration(file);
      const result = await this.#change(
        { ...options, account: declaration.account },
        'configuration.apply',
        { declaration },
      );
      this.#show(options, result, `generation ${result.generation}${repeated(result)}`);
    });
  }

  async get(options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const result = await this.#call(options, 'configuration.get', accountOf(options));
      this.#show(options, result, JSON.stringify(result, null, 2));
    });
  }

  async diff(file: string, options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const declaration = readDeclaration(file);
      const { account } = declaration;
      const current = await this.#call(options, 'configuration.get', { account });
      const differences = diffDocuments(current.declaration ?? {}, declaration);
      this.#show(options, differences, formatDifferences(differences));
    });
  }

  async status(options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const result = await this.#call(options, 'status', accountOf(options));
      this.#show(options, result, formatHosts(result));
    });
  }

  async history(options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const result = await this.#call(options, 'configuration.history', accountOf(options));
      this.#show(options, result, formatChanges(result.changes));
    });
  }

  async rollback(generation: string, options: ChangeOptions): Promise<number> {
    return this.#run(async () => {
      const toGeneration = Number(generation);
      if (!Number.isInteger(toGeneration) || toGeneration < 1) {
        throw new CommandError(
          `generation: expected a whole number, got "${generation}"`,
          exitCodes.badInput,
        );
      }
      const result = await this.#change(options, 'configuration.rollback', { toGeneration });
      this.#show(options, result, `generation ${result.generation}${repeated(result)}`);
    });
  }

  async drain(scope: string, name: string, options: ChangeOptions): Promise<number> {
    return this.#changeDrain('drain.start', scope, name, options);
  }

  async undrain(scope: string, name: string, options: ChangeOptions): Promise<number> {
    return this.#changeDrain('drain.end', scope, name, options);
  }

  async lookup(service: string, address: string, options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const params = { ...accountOf(options), service, address };
      const result = await this.#call(options, 'lookup', params);
      this.#show(options, result, formatLookup(result));
    });
  }

  async metrics(options: CommonOptions): Promise<number> {
    return this.#run(async () => {
      const result = await this.#call(options, 'metrics', accountOf(options));
      this.#show(options, result, formatMetrics(result.services));
    });
  }

  #changeDrain(
    method: 'drain.start' | 'drain.end',
    scope: string,
    name: string,
    options: ChangeOptions,
  ): Promise<number> {
    return this.#run(async () => {
      const drain = readDrain(scope, name, options);
      const result = await this.#change(options, method, { drain });
      this.#show(options, result, `generation ${result.generation}${repeated(result)}`);
    });
  }

  /** Makes a change on top of the generation in force, unless another is named. */
  async #change<
    Method extends 'configuration.apply' | 'configuration.rollback' | 'drain.start' | 'drain.end',
  >(
    options: ChangeOptions,
    method: Method,
    what: Omit<OperatorParams<Method>, 'account' | 'changeId' | 'basedOn'>,
  ): Promise<OperatorResult<Method>> {
    const { account } = accountOf(options);
    const changeId = options['change-id'] ?? randomUUID();
    const basedOn =
      options['based-on'] ??
      (await this.#call(options, 'configuration.get', { account })).generation;
    const params = { ...what, account, changeId, basedOn } as unknown as OperatorParams<Method>;
    try {
      return await this.#call(options, method, params);
    } catch (error) {
      if (error instanceof CommandError && error.exitCode === exitCodes.outcomeUnknown) {
        const hint = `try again with --change-id ${changeId} --based-on ${basedOn}`;
        throw new CommandError(`${error.message}\n${hint}`, error.exitCode);
      }
      throw error;
    }
  }

  async #call<Method extends OperatorMethod>(
    options: CommonOptions,
    method: Method,
    params: OperatorParams<Method>,
  ): Promise<OperatorResult<Method>> {
    const client = new OperatorClient({ endpoint: options.endpoint, token: options.token });
    const answer = await client.call(method, params);
    if (answer.isErr()) {
      throw new CommandError(answer.error.message, exitCodeOf(answer.error.code));
    }
    return answer.value;
  }

  async #run(command: () => Promise<void>): Promise<number> {
    try {
      await command();
      return exitCodes.done;
    } catch (error) {
      if (error instanceof CommandError) {
        this.output.fail(error.message);
        return error.exitCode;
      }
      throw error;
    }
  }

  #show(options: CommonOptions, result: unknown, text: string): void {
    this.output.print(options.json === true ? JSON.stringify(result) : text);
  }
}

function accountOf(options: CommonOptions): { account: string } {
  if (options.account === undefined) {
    throw new CommandError('--account NAME is required', exitCodes.badInput);
  }
  return { account: options.account };
}

function readDeclaration(file: string): Declaration {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new CommandError(`cannot read ${file}: ${String(error)}`, exitCodes.badInput);
  }
  const declaration = parseDeclarationText(text);
  if (declaration.isErr()) {
    const lines = declaration.error.map(({ field, message }) => `${file}: ${field}: ${message}`);
    throw new CommandError(lines.join('\n'), exitCodes.badInput);
  }
  return declaration.value;
}

function readDrain(scope: string, name: string, options: ChangeOptions): Drain {
  switch (scope) {
    case 'target':
      if (options.service === undefined) {
        throw new CommandError('--service NAME is required with a target', exitCodes.badInput);
      }
      return { scope, service: options.service, name };
    case 'host':
      return { scope, name };
    case 'failure-domain':
      return { scope: 'failureDomain', name };
    default:
      throw new CommandError(
        `expected target, host or failure-domain, got "${scope}"`,
        exitCodes.badInput,
      );
  }
}

function repeated(result: { alreadyApplied: boolean }): string {
  return result.alreadyApplied ? ' (this change had been applied before)' : '';
}

async function readLogFiles(files: readonly string[]) {
  try {
    return await readLogs(files);
  } catch (error) {
    throw new CommandError(`cannot read the logs: ${String(error)}`, exitCodes.badInput);
  }
}
