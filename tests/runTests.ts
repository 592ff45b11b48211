import { readFile } from 'node:fs/promises';
import { relative } from 'node:path';

import { startVitest } from 'vitest/node';
import type { TestCase } from 'vitest/node';

const knownRedFile = 'KNOWN-RED.txt';

function describeTest({ module, name }: TestCase): string {
  return `${relative(process.cwd(), module.moduleId)}: ${name}`;
}

const knownRedText = await readFile(knownRedFile, 'utf8');
const knownRedTests = new Set(
  [...knownRedText.matchAll(/^- Test: (.+)$/gm)].map(([, test]) => test),
);

const vitest = await startVitest('test', process.argv.slice(2), { watch: false });
const modules = vitest.state.getTestModules();
const suites = modules.flatMap(({ children }) => [...children.allSuites()]);
const tests = modules.flatMap(({ children }) => [...children.allTests()]);
const knownTests = tests.filter((test) => knownRedTests.has(describeTest(test)));
const failed = tests.filter((test) => test.result().state === 'failed');
const unexpectedFailures = failed.filter((test) => !knownTests.includes(test));
// An error at the top level of a module or in a hook fails the module or suite, and its tests are
// skipped instead of failed.
const errors = [
  ...modules.flatMap((module) => module.errors()),
  ...suites.flatMap((suite) => suite.errors()),
  ...vitest.state.getUnhandledErrors(),
];
await vitest.close();

knownTests.forEach((test) =>
  process.stdout.write(`${knownRedFile}: ${test.result().state}: ${describeTest(test)}\n`),
);
const isGreen = tests.length > 0 && unexpectedFailures.length === 0 && errors.length === 0;
process.exitCode = isGreen ? 0 : 1;
