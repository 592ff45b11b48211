import type { SoakEvent, SoakEventKind, TimedEvent } from './SoakEvent.ts';

// Rules with a time bound hold for a host that was not disturbed for this long.
const contactMs = 3000;

type RequestEventKind =
  'request_sent' | 'request_answered' | 'request_cut' | 'request_arrived' | 'request_ran';

/** All events of a run, in the order of their time. */
export default class SoakHistory {
  private readonly events = new Map<SoakEventKind, TimedEvent[]>();

  record(event: SoakEvent, at: number): void {
    const events = this.events.get(event.kind) ?? [];
    this.events.set(event.kind, events);
    events.push({ ...event, at });
  }

  list<Kind extends SoakEventKind>(kind: Kind): readonly TimedEvent<Kind>[] {
    return (this.events.get(kind) ?? []) as TimedEvent<Kind>[];
  }

  /** One line for each event, in the order of their time. */
  format(): string {
    return [...this.events.values()]
      .flat()
      .sort((first, second) => first.at - second.at)
      .map((event) => `${JSON.stringify(event)}\n`)
      .join('');
  }

  /** Maps events of a kind by request id; of several, the first counts. */
  mapById<Kind extends RequestEventKind>(kind: Kind): ReadonlyMap<string, TimedEvent<Kind>> {
    const events = new Map<string, TimedEvent<Kind>>();
    this.list(kind).forEach((event) => {
      const { id } = event as TimedEvent<RequestEventKind>;
      if (!events.has(id)) events.set(id, event);
    });
    return events;
  }

  /** How long the soak itself did not run between two times, in milliseconds. */
  measureStalls(from: number, to: number): number {
    return this.list('soak_stalled').reduce((sum, { at, tookMs }) => {
      const overlapMs = Math.min(at, to) - Math.max(at - tookMs, from);
      return sum + Math.max(0, overlapMs);
    }, 0);
  }

  /** Whether a host, or any control host, was disturbed within the contact time or since `from`. */
  isDisturbed(host: string, from: number, to: number): boolean {
    return this.list('host_disturbed').some(
      (event) =>
        (event.host === host || event.role === 'control') &&
        event.at > from - contactMs &&
        event.at <= to,
    );
  }
}
