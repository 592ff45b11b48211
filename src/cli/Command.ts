import type TrpcOperatorClient from '../adapters/trpc/TrpcOperatorClient.ts';
import type Result from '../domain/errors/Result.ts';
import type RandomSource from '../ports/RandomSource.ts';
import type { CommandOption } from './options.ts';

/** Context in which a command runs. */
export interface CommandContext {
  readonly client: TrpcOperatorClient;
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
}

/** One command of the operators' tool. */
export default interface Command {
  /** The two words of the command, for example `preset list`. */
  readonly name: string;
  /** Names of the positional arguments. */
  readonly positionals: readonly string[];
  readonly options: readonly CommandOption[];
  /** Help lines; the first says what the command does. */
  readonly help: readonly string[];
  /** Rejects with `UsageError` for an invalid command line or file. */
  runCommand(context: CommandContext): Promise<Result<CommandOutput>>;
}
