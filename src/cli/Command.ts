import type TrpcOperatorClient from '../adapters/trpc/TrpcOperatorClient.ts';
import type Result from '../domain/errors/Result.ts';
import type RandomSource from '../ports/RandomSource.ts';
import type { CommandOption } from './options.ts';

/** What a command gets to run. */
export interface CommandContext {
  readonly client: TrpcOperatorClient;
  readonly random: RandomSource;
  /** Arguments after the words of the command; as many as the command names. */
  readonly positionals: readonly string[];
  readonly values: Readonly<Partial<Record<CommandOption, string>>>;
  readonly readFile: (path: string) => Promise<string>;
  /** Rejects with UsageError when the file can't be written. */
  readonly writeFile: (path: string, text: string) => Promise<void>;
  /** Writes a line to standard error. */
  readonly writeNote: (line: string) => void;
}

/** What a command prints. */
export interface CommandOutput {
  /** For `--json`. */
  readonly value: unknown;
  /** For people and shells; lines without the last line break. */
  readonly text: string;
  /** Lines for standard error. */
  readonly notes?: readonly string[];
}

/** One command of the operators' tool. */
export default interface Command {
  /** The words that name it, for example `preset list`. */
  readonly name: string;
  /** Names of its arguments. */
  readonly positionals: readonly string[];
  readonly options: readonly CommandOption[];
  /** Help lines; the first says what it does. */
  readonly help: readonly string[];
  /** Rejects with UsageError for a wrong command line or a bad file. */
  runCommand(context: CommandContext): Promise<Result<CommandOutput>>;
}
