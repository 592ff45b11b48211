/** All options of the operators' tool, as `util.parseArgs` takes them. */
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

/** Options that only some commands take. */
export type CommandOption = 'based-on' | 'change-id' | 'html';

/** Help on the options that every command takes. */
export const globalHelp = [
  'Options of every command:',
  '  --server HOST:PORT  operators listener of a control host; repeat it to name others',
  '  --key-file FILE     file with the operator key (default: environment PISTACHIOHOIST_KEY)',
  '  --operator NAME     name that changes are recorded under (default: login name)',
  '  --json              print the answer as JSON',
  '  -h, --help          print this help',
  '',
  'Exit codes: 0 done, 1 refused, 2 wrong use or bad file, 3 not reachable',
].join('\n');
