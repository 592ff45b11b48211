/** A callback that runs at a simulated time. */
export interface Event {
  /** Simulated time in milliseconds. */
  readonly at: number;
  /** Events at the same time run in the order in which they were added. */
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** A binary heap of callbacks that run in the order of their simulated time, in milliseconds. */
export default class EventQueue {
  now = 0;

  private addedCount = 0;

  private readonly heap: Event[] = [];

  addEvent(at: number, run: () => void): void {
    this.addedCount += 1;
    const event = { at, order: this.addedCount, run };
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parentIndex = Math.floor((index - 1) / 2);
      const parent = this.heap[parentIndex] as Event;
      if (!isBefore(event, parent)) break;
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = event;
  }

  /** Removes and returns the first event, if it is due at an instant. */
  takeDue(now: number): Event | undefined {
    const [first] = this.heap;
    return first && first.at <= now ? this.takeFirst() : undefined;
  }

  /** Runs all events, also those that are added meanwhile. */
  runAll(): void {
    let event = this.takeFirst();
    while (event) {
      this.now = event.at;
      event.run();
      event = this.takeFirst();
    }
  }

  private takeFirst(): Event | undefined {
    const first = this.heap[0];
    const last = this.heap.pop();
    if (!first || !last || this.heap.length === 0) return first;
    let index = 0;
    let childIndex = 1;
    while (childIndex < this.heap.length) {
      const rightChild = this.heap[childIndex + 1];
      if (rightChild && isBefore(rightChild, this.heap[childIndex] as Event)) childIndex += 1;
      const child = this.heap[childIndex] as Event;
      if (!isBefore(child, last)) break;
      this.heap[index] = child;
      index = childIndex;
      childIndex = 2 * index + 1;
    }
    this.heap[index] = last;
    return first;
  }
}
