/** Fields of a log line besides its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes short structured log lines; the message begins with the name of its subsystem, for example
 * `claims:`.
 */
export default interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
