import { defineConfig } from 'vitest/config';

const crowdTests = 'tests/platform/crowds.test.ts';

export default defineConfig({
  test: {
    testTimeout: 30_000,
    hookTimeout: 30_000,
    maxWorkers: 5,
    projects: [
      {
        extends: true,
        test: {
          name: 'all',
          include: ['tests/**/*.test.ts'],
          exclude: [crowdTests],
          sequence: { groupOrder: 0 },
        },
      },
      // Runs after the others and alone: its processes need their memory and processor time.
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [crowdTests],
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
