import type TrpcOperatorClient from '../adapters/trpc/TrpcOperatorClient.ts';
import type Result from '../domain/errors/Result.ts';
import type RandomSource from '../ports/RandomSource.ts';
import type { CommandOption } from './options.ts';

/**
 * What a command needs to reach control hosts: addresses and the operator key, the same unless no
 * address is given, or addresses alone, if any are given.
 */
export type ServerAccess = 'operator' | 'optional_operator' | 'optional_address';

/** Context in which a command runs. */
export interface CommandContext {
  readonly client: TrpcOperatorClient;
  /** Addresses of control hosts; empty only if the command's access is optional. */
  readonly servers: readonly string[];
  readonly random: RandomSource;
  /** Arguments after the command's name; their number has been checked. */
  readonly positionals: readonly string[];
  readonly values: Readonly<Partial<Record<CommandOption, string>>>;
  /** Rejects with `UsageError` when the file can't be read. */
  readonly readFile: (path: string) => Promise<string>;
  /** Rejects with `UsageError` when the file can't be written. */
  readonly writeFile: (path: string, text: string) => Promise<void>;
  /** Writes a line to standard error. */
  readonly writeNote: (line: string) => void;
}

/** Output of a command. */
export interface CommandOutput {
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed without `--json`; has no line break at the end. */
  readonly text: string;
  /** Lines printed to standard error without `--json`. */
  readonly notes?: readonly string[];
  /** Exit code of the process; 0 unless set. */
  readonly exitCode?: number;
}

/** One command of the operators' tool. */
export default interface Command {
  /** The two words of the command, for example `preset list`. */
  readonly name: string;
  /** Names of the positional arguments. */
  readonly positionals: readonly string[];
  readonly options: readonly CommandOption[];
  /** `operator` unless set. */
  readonly access?: ServerAccess;
  /** Help lines; the first says what the command does. */
  readonly help: readonly string[];
  /** Rejects with `UsageError` for an invalid command line or file. */
  runCommand(context: CommandContext): Promise<Result<CommandOutput>>;
}
