/** All options of the operators' tool, in the form that `util.parseArgs` expects. */
const options = {
  server: { type: 'string', multiple: true },
  'key-file': { type: 'string' },
  operator: { type: 'string' },
  json: { type: 'boolean' },
  help: { type: 'boolean', short: 'h' },
  'based-on': { type: 'string' },
  'change-id': { type: 'string' },
  html: { type: 'string' },
} as const;

export default options;

/** Options that only some commands accept. */
export type CommandOption = 'based-on' | 'change-id' | 'html';

/** Help text for the options that every command accepts. */
export const globalHelp = [
  'Options of every command:',
  '  --server HOST:PORT  operators listener of a control host; may be repeated',
  '  --key-file FILE     file with the operator key (default: variable PISTACHIOHOIST_KEY)',
  '  --operator NAME     name recorded with changes (default: login name)',
  '  --json              print the result as JSON',
  '  -h, --help          print this help',
  '',
  'Exit codes: 0 success, 1 refused or findings, 2 usage error or invalid file, 3 control group not reachable',
].join('\n');
