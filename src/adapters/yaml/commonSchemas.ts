import * as z from 'zod';

const expectedKey = 'expected a string of at least 16 characters';

/** A key that the hosts of a fleet share. */
export const keySchema = z.string(expectedKey).min(16, expectedKey);

/** The least severe level that the log writes. */
export const logLevelSchema = z
  .enum(['error', 'warn', 'info', 'debug'], 'expected one of error, warn, info, debug')
  .default('info');

/** The data folder of a control host. */
export const dataFolderSchema = z
  .string('expected the path of a folder')
  .min(1, 'expected the path of a folder');

const expectedMemory = 'expected a number of bytes from 1000000 to 1000000000000';

/** Memory that a process may use, in bytes; empty when the platform sets no limit. */
export const memorySchema = z
  .number(expectedMemory)
  .min(1_000_000, expectedMemory)
  .max(1_000_000_000_000, expectedMemory)
  .nullish();
