import { describe, expect, it } from 'vitest';

import BufferBudget from '../../src/domain/requests/BufferBudget.ts';

describe('BufferBudget', () => {
  function openBuffers(sizes: readonly number[]) {
    const budget = new BufferBudget({ maxBytes: 100 });
    const dropped: number[] = [];
    const buffers = sizes.map((size, index) => {
      const buffer = budget.openBuffer();
      buffer.setDropHandler(() => dropped.push(index));
      buffer.addBytes(size);
      return buffer;
    });
    return { budget, buffers, dropped };
  }

  // Guards against one upstream or caller whose bytes take the room of all others.
  it('should drop the largest buffer when there are too many bytes', () => {
    const { budget, buffers, dropped } = openBuffers([20, 50, 30]);
    buffers[0]?.addBytes(1);

    expect([dropped, budget.usedBytes]).toEqual([[1], 51]);
  });

  it('should drop no buffer that has to be kept', () => {
    const { buffers, dropped } = openBuffers([60, 20, 10]);
    buffers[0]?.markKept();
    buffers[2]?.addBytes(20);

    expect(dropped).toEqual([2]);
  });

  it('should count a buffer until it is released, once', () => {
    const { budget, buffers } = openBuffers([60, 20]);
    [1, 2].forEach(() => buffers[0]?.release());
    buffers[0]?.addBytes(90);

    expect(budget.usedBytes).toBe(20);
  });
});
