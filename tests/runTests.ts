import { readFile } from 'node:fs/promises';
import { relative } from 'node:path';

import { startVitest } from 'vitest/node';
import type { TestCase } from 'vitest/node';

const knownRedPage = 'KNOWN-RED.txt';

function describeTest({ module, name }: TestCase): string {
  return `${relative(process.cwd(), module.moduleId)}: ${name}`;
}

const page = await readFile(knownRedPage, 'utf8');
const knownRed = new Set([...page.matchAll(/^- Test: (.+)$/gm)].map(([, test]) => test));

const vitest = await startVitest('test', process.argv.slice(2), { watch: false });
const modules = vitest.state.getTestModules();
const suites = modules.flatMap(({ children }) => [...children.allSuites()]);
const tests = modules.flatMap(({ children }) => [...children.allTests()]);
const listed = tests.filter((test) => knownRed.has(describeTest(test)));
const failed = tests.filter((test) => test.result().state === 'failed');
const unexpected = failed.filter((test) => !listed.includes(test));
// A module or a suite fails by itself when its code or a hook does; its tests are then skipped.
const errors = [
  ...modules.flatMap((module) => module.errors()),
  ...suites.flatMap((suite) => suite.errors()),
  ...vitest.state.getUnhandledErrors(),
];
await vitest.close();

listed.forEach((test) =>
  process.stdout.write(`${knownRedPage}: ${test.result().state}: ${describeTest(test)}\n`),
);
const isGreen = tests.length > 0 && unexpected.length === 0 && errors.length === 0;
process.exitCode = isGreen ? 0 : 1;
