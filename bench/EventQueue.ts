interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Runs callbacks in the order of their simulated time (a binary heap). */
export default class EventQueue {
  now = 0;

  private order = 0;

  private readonly heap: Event[] = [];

  addEvent(at: number, run: () => void): void {
    this.order += 1;
    const event = { at, order: this.order, run };
    let index = this.heap.push(event) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const above = this.heap[parent] as Event;
      if (!isBefore(event, above)) break;
      this.heap[index] = above;
      index = parent;
    }
    this.heap[index] = event;
  }

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
    let child = 1;
    while (child < this.heap.length) {
      const right = this.heap[child + 1];
      if (right && isBefore(right, this.heap[child] as Event)) child += 1;
      const below = this.heap[child] as Event;
      if (!isBefore(below, last)) break;
      this.heap[index] = below;
      index = child;
      child = 2 * index + 1;
    }
    this.heap[index] = last;
    return first;
  }
}
