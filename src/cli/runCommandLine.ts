import { parseArgs } from 'node:util';

import { operatorNameExpected, operatorNamePattern } from '../adapters/trpc/operatorMessages.ts';
import { addressTextSchema } from '../adapters/yaml/listenAddressSchema.ts';
import TrpcOperatorClient from '../adapters/trpc/TrpcOperatorClient.ts';
import type Failure from '../domain/errors/Failure.ts';
import type Clock from '../ports/Clock.ts';
import type RandomSource from '../ports/RandomSource.ts';
import type Command from './Command.ts';
import type { CommandContext, CommandOutput } from './Command.ts';
import PresetCheckCommand from './PresetCheckCommand.ts';
import PresetListCommand from './PresetListCommand.ts';
import PresetPutCommand from './PresetPutCommand.ts';
import PresetShowCommand from './PresetShowCommand.ts';
import PresetStatusCommand from './PresetStatusCommand.ts';
import PresetUseCommand from './PresetUseCommand.ts';
import ReportBurnCommand from './ReportBurnCommand.ts';
import ServiceListCommand from './ServiceListCommand.ts';
import TeamListCommand from './TeamListCommand.ts';
import UpstreamListCommand from './UpstreamListCommand.ts';
import UsageError from './UsageError.ts';
import YamlPresetFormat from './YamlPresetFormat.ts';
import exitCodes, { decideExitCode } from './exitCodes.ts';
import options, { globalHelp } from './options.ts';
import type { CommandOption } from './options.ts';

/** Parts of the process that the tool uses. */
export interface CommandLineOptions {
  /** Command-line arguments after the program's name. */
  readonly parameters: readonly string[];
  /** Environment variables, from which the operator key and the login name are read. */
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly readFile: (path: string) => Promise<string>;
  readonly writeFile: (path: string, text: string) => Promise<void>;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Commands of the tool; all of the product unless set. */
  readonly commands?: readonly Command[] | undefined;
}

const allCommands: readonly Command[] = [
  new PresetListCommand(),
  new PresetShowCommand(),
  new PresetCheckCommand({ format: new YamlPresetFormat() }),
  new PresetPutCommand(),
  new PresetUseCommand(),
  new PresetStatusCommand(),
  new UpstreamListCommand(),
  new ServiceListCommand(),
  new TeamListCommand(),
  new ReportBurnCommand(),
];

const optionUsages: Readonly<Record<CommandOption, string>> = {
  'based-on': '--based-on REVISION',
  'change-id': '[--change-id ID]',
  html: '[--html FILE]',
};

type Values = ReturnType<typeof parseParameters>['values'];

function parseParameters(parameters: readonly string[]) {
  try {
    const parsed = parseArgs({ args: [...parameters], options, allowPositionals: true });
    return { values: parsed.values, words: parsed.positionals };
  } catch (error) {
    throw new UsageError((error as Error).message);
  }
}

function describeUsage(command: Command): string {
  const optionTexts = command.options.map((name) => optionUsages[name]);
  return ['pistachiohoist', command.name, ...command.positionals, ...optionTexts].join(' ');
}

function describeHelp(commands: readonly Command[], command: Command | undefined): string {
  const usages = command ? [describeUsage(command)] : commands.map(describeUsage);
  const help = command ? [...command.help, ''] : [];
  return ['Usage:', ...usages.map((usage) => `  ${usage}`), '', ...help, globalHelp].join('\n');
}

function checkUsage(command: Command, values: Values, positionals: readonly string[]): void {
  if (positionals.length !== command.positionals.length) {
    const expected = command.positionals.join(' ') || 'none';
    throw new UsageError(
      `${command.name}: ${positionals.length} arguments; expected ${expected}: ${describeUsage(command)}`,
    );
  }
  const unknown = (['based-on', 'change-id', 'html'] as const).find(
    (name) => values[name] !== undefined && !command.options.some((allowed) => allowed === name),
  );
  if (unknown) throw new UsageError(`${command.name}: option --${unknown} is not allowed here`);
}

function readServers(values: Values, { access = 'operator' }: Command): readonly string[] {
  const servers = values.server ?? [];
  if (servers.length === 0 && access === 'operator') {
    throw new UsageError('--server: missing: expected HOST:PORT of an operators listener');
  }
  servers.forEach((server) => {
    const checked = addressTextSchema.safeParse(server);
    if (checked.success) return;
    const expected = checked.error.issues[0]?.message ?? 'expected HOST:PORT';
    throw new UsageError(`--server: value "${server}": ${expected}`);
  });
  return servers;
}

async function readFile(commandLine: CommandLineOptions, path: string): Promise<string> {
  try {
    return await commandLine.readFile(path);
  } catch (error) {
    throw new UsageError(`${path}: cannot be read: ${(error as Error).message}`);
  }
}

async function writeFile(
  commandLine: CommandLineOptions,
  path: string,
  text: string,
): Promise<void> {
  try {
    await commandLine.writeFile(path, text);
  } catch (error) {
    throw new UsageError(`${path}: cannot be written: ${(error as Error).message}`);
  }
}

function readOperator({ environment }: CommandLineOptions, values: Values): string {
  const name = values.operator ?? environment.LOGNAME ?? environment.USER;
  if (name !== undefined && operatorNamePattern.test(name)) return name;
  const shown = name === undefined ? 'missing' : JSON.stringify(name);
  throw new UsageError(`--operator: value ${shown}: ${operatorNameExpected}`);
}

async function readKey(commandLine: CommandLineOptions, values: Values): Promise<string> {
  const file = values['key-file'];
  const key =
    file === undefined
      ? commandLine.environment.PISTACHIOHOIST_KEY
      : await readFile(commandLine, file);
  if (key?.trim()) return key.trim();
  throw new UsageError(
    '--key-file: no key: expected a file or PISTACHIOHOIST_KEY with the operator key',
  );
}

async function createClient(
  commandLine: CommandLineOptions,
  values: Values,
  { servers, access = 'operator' }: Pick<Command, 'access'> & Pick<CommandContext, 'servers'>,
): Promise<TrpcOperatorClient> {
  const { clock } = commandLine;
  // Without servers, or for those that ask for no key, the client is not used.
  const hasKey = servers.length > 0 && access !== 'optional_address';
  return new TrpcOperatorClient({
    ...{ servers, clock },
    operatorKey: hasKey ? await readKey(commandLine, values) : '',
    operator: hasKey ? readOperator(commandLine, values) : '',
  });
}

async function runCommand(commandLine: CommandLineOptions): Promise<CommandOutput | Failure> {
  const { commands = allCommands } = commandLine;
  const { values, words } = parseParameters(commandLine.parameters);
  const command = commands.find(({ name }) => name === words.slice(0, 2).join(' '));
  if (values.help) {
    const help = describeHelp(commands, command);
    return { value: { help }, text: help };
  }
  if (!command) {
    const names = commands.map(({ name }) => name).join(', ');
    const given = words.slice(0, 2).join(' ');
    throw new UsageError(`command "${given}": expected one of ${names}; see --help`);
  }
  const positionals = words.slice(2);
  checkUsage(command, values, positionals);
  const servers = readServers(values, command);
  const client = await createClient(commandLine, values, { servers, access: command.access });
  const result = await command.runCommand({
    ...{ client, servers },
    random: commandLine.random,
    positionals,
    values,
    readFile: (path) => readFile(commandLine, path),
    writeFile: (path, text) => writeFile(commandLine, path, text),
    writeNote: (line) => commandLine.writeError(`${line}\n`),
  });
  return result.ok ? result.value : result.failure;
}

/** Runs one command and returns the exit code. */
export default async function runCommandLine(commandLine: CommandLineOptions): Promise<number> {
  const isJson = commandLine.parameters.includes('--json');
  const writeFailure = (kind: string, failure: object, message: string): void => {
    const text = isJson
      ? JSON.stringify({ error: failure })
      : `pistachiohoist: ${kind}: ${message}`;
    commandLine.writeError(`${text}\n`);
  };
  try {
    const result = await runCommand(commandLine);
    if ('kind' in result) {
      writeFailure(result.kind, result, result.message);
      return decideExitCode(result.kind);
    }
    commandLine.writeOutput(`${isJson ? JSON.stringify(result.value) : result.text}\n`);
    if (!isJson) result.notes?.forEach((note) => commandLine.writeError(`${note}\n`));
    return result.exitCode ?? exitCodes.done;
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    writeFailure('usage', { kind: 'usage', message: error.message }, error.message);
    return exitCodes.wrongUse;
  }
}
