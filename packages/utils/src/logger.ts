import winston from 'winston';

/** Structured logger: writes a message and typed fields as one JSON line. */
export interface Logger {
  debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Minimum severity that is written. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

const LEVELS = ['debug', 'info', 'warn', 'error'];

export interface LoggerOptions {
  /** Output stream. */
  readonly stream?: 'stdout' | 'stderr';
}

/** Symbol under which winston transports read the formatted line. */
const FORMATTED_LINE = Symbol.for('message');

/**
 * Serializes fields as JSON with a timestamp. The built-in winston formats also sort fields and
 * detect cycles, which is slower.
 */
const jsonLine = winston.format((info) => {
  info.timestamp = new Date().toISOString();
  info[FORMATTED_LINE] = JSON.stringify(info);
  return info;
});

/** Creates a winston logger that writes JSON lines, to standard error by default. */
export function createLogger(
  level: LogLevel,
  defaultFields: Readonly<Record<string, unknown>> = {},
  { stream = 'stderr' }: LoggerOptions = {},
): Logger {
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: defaultFields,
    format: jsonLine(),
    transports: [
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston types its transports this way
      new winston.transports.Console({ stderrLevels: stream === 'stderr' ? LEVELS : [] }),
    ],
  });
}

/** Logger that discards everything. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
