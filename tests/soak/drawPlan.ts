import { listeners } from '../fixtures/PlatformFleet.ts';
import SeededRandom from '../fixtures/SeededRandom.ts';
import crowdInputs from './crowdInputs.ts';
import type {
  CrowdInput,
  HostStep,
  LinkFault,
  SoakPlan,
  SoakStep,
  StrangerEnding,
  StrangerInput,
  StrangerStep,
  UpstreamMode,
} from './SoakPlan.ts';
import strangerInputs from './strangerInputs.ts';

// The time after the last fault: recovery, and five seconds in which requests are counted.
const calmMs = 20_000;
const startMs = 2000;
const modes: readonly UpstreamMode[] = [
  ...(['failing', 'resetting', 'hanging', 'slow'] as const),
  ...(['truncating', 'doubling', 'refusing', 'endless'] as const),
];
const linkFaults: readonly LinkFault[] = [
  ...(['delayed', 'reset', 'silent_to_upstream', 'silent_from_upstream'] as const),
];
const hostKinds = ['kill', 'stop', 'stop', 'pause', 'hangup'] as const;
const inputs = Object.keys(strangerInputs) as StrangerInput[];
const crowds = Object.keys(crowdInputs) as CrowdInput[];
const endings: readonly StrangerEnding[] = [
  ...(['reset', 'late_reset', 'reset_on_answer', 'half_close', 'idle'] as const),
];
// One process plays callers, upstreams and strangers; with more it would be too busy to see much.
const minStrangers = 150;
const maxCallers = 72;
// A reload may come while a process that has just started is not ready yet.
const maxReloadMs = 500;
const maxGapMs = 1500;
const overlapPresets = 4;
// Crowds have random numbers of their own, so that the other steps of earlier seeds stay the same.
const crowdSeedOffset = 500_000;

/** Size of the runs that are drawn. */
export interface PlanSize {
  readonly seed: number;
  readonly durationMs: number;
  /** Number of entry hosts. */
  readonly size: number;
}

/** Draws a plan; the same seed and size give the same plan. */
export default function drawPlan({ seed, durationMs, size }: PlanSize): SoakPlan {
  const random = new SeededRandom(seed);
  const crowdNumbers = new SeededRandom(seed + crowdSeedOffset);
  const draw = (count: number): number => Math.floor(random.next() * count);
  const choose = <Value>(values: readonly Value[]): Value => values[draw(values.length)] as Value;
  const controlHosts = size >= 12 ? 5 : 3;
  const upstreams = 2 + Math.ceil(size / 2);
  const faultMs = durationMs - calmMs - startMs;
  const drawTime = (): number => startMs + draw(faultMs);

  const drawHostStep = (): SoakStep => {
    const role = random.next() < 0.35 ? 'control' : 'entry';
    const target = draw(role === 'control' ? controlHosts : size);
    const kind = choose(hostKinds);
    return { kind, role, target, atMs: drawTime(), forMs: 200 + draw(3000) };
  };
  // A series stops or kills all hosts of a role, at once or one after the other.
  const drawSeries = (): readonly SoakStep[] => {
    const kind = choose(['stop', 'kill'] as const);
    const role = choose(['control', 'entry'] as const);
    const firstAt = drawTime();
    const gapMs = random.next() < 0.4 ? 0 : 500 + draw(2500);
    const count = role === 'control' ? controlHosts : size;
    return Array.from({ length: count }, (_, target) => ({
      ...{ kind, role, target, forMs: 200, atMs: firstAt + target * gapMs },
    }));
  };
  const drawPlannedStop = (role: HostStep['role'], target: number, atMs = drawTime()): HostStep => {
    const afterMs = draw(2000);
    const signal = choose(['SIGTERM', 'SIGHUP'] as const);
    return {
      ...({ kind: 'stop', role, target, atMs, forMs: draw(600) } as const),
      ...(random.next() < 0.4 && { again: { signal, afterMs } }),
      ...(random.next() < 0.4 && { reloadMs: draw(maxReloadMs) }),
    };
  };
  // Stops of all hosts of both roles that overlap, and changes of the preset meanwhile.
  const drawOverlap = (): readonly SoakStep[] => {
    const gapMs = draw(Math.min(maxGapMs, faultMs / size));
    const firstAt = startMs + draw(faultMs - gapMs * size);
    const drawStops = (role: HostStep['role'], count: number): readonly SoakStep[] =>
      Array.from({ length: count }, (_, target) =>
        drawPlannedStop(role, target, firstAt + target * gapMs),
      );
    return [
      ...drawStops('control', controlHosts),
      ...drawStops('entry', size),
      ...Array.from({ length: overlapPresets }, (_, index): SoakStep => ({
        ...({ kind: 'preset', atMs: firstAt + 500 * index } as const),
      })),
    ];
  };
  const drawUpstreamStep = (): SoakStep => {
    const target = draw(2 * upstreams);
    const times = { target, atMs: drawTime(), forMs: 1000 + draw(6000) };
    const number = random.next();
    const isWide = random.next() < 0.2;
    if (number < 0.45) return { kind: 'mode', mode: choose(modes), isWide, ...times };
    if (number < 0.7) return { kind: 'link', fault: choose(linkFaults), ...times };
    return { kind: number < 0.9 ? 'leave' : 'crash', target, atMs: times.atMs };
  };
  const drawPreset = (): SoakStep => ({ kind: 'preset', atMs: drawTime() });
  const drawStranger = (to: Pick<StrangerStep, 'role' | 'target' | 'listener'>): SoakStep => {
    const ending = choose(endings);
    const isIdle = ending === 'idle';
    return {
      ...({ kind: 'strangers', ...to, ending } as const),
      input: choose(isIdle ? (['nothing', 'half_head', 'half_body'] as const) : inputs),
      count: isIdle ? 30 + draw(150) : 5 + draw(20),
      atMs: drawTime(),
      forMs: ending === 'late_reset' ? draw(100) : 500 + draw(4000),
    };
  };
  // Strangers reach each listener of each host at least once.
  const drawStrangers = (): readonly SoakStep[] => {
    const hosts = [
      ...Array.from(
        { length: controlHosts },
        (_, target) => ({ role: 'control', target }) as const,
      ),
      ...Array.from({ length: size }, (_, target) => ({ role: 'entry', target }) as const),
    ];
    const targets = hosts.flatMap(({ role, target }) =>
      listeners[role].map((listener) => ({ role, target, listener })),
    );
    const more = Math.max(0, minStrangers - targets.length);
    return [
      ...[...targets, ...Array.from({ length: more }, () => choose(targets))].map(drawStranger),
      ...hosts.map(({ role, target }): SoakStep => ({
        ...({ kind: 'datagrams', role, target, count: 1 + draw(50), atMs: drawTime() } as const),
      })),
    ];
  };

  // Clients that together hold memory of a host for a while.
  const drawCrowd = (): SoakStep => {
    const drawFor = (count: number): number => Math.floor(crowdNumbers.next() * count);
    const isEntry = crowdNumbers.next() < 0.7;
    return {
      ...({ kind: 'strangers', ending: 'idle' } as const),
      ...(isEntry
        ? ({ role: 'entry', listener: 'callers' } as const)
        : ({ role: 'control', listener: 'operators' } as const)),
      target: drawFor(isEntry ? size : controlHosts),
      input: crowds[drawFor(crowds.length)] ?? 'stopped_body',
      count: 10 + drawFor(20),
      atMs: startMs + drawFor(faultMs),
      forMs: 1000 + drawFor(3000),
    };
  };

  const perMinute = (count: number): number => Math.ceil((count * faultMs) / 60_000);
  const steps = [
    ...Array.from({ length: perMinute(16 + size) }, drawHostStep),
    ...(random.next() < 0.6 ? drawSeries() : []),
    ...Array.from({ length: perMinute(30 + 2 * size) }, drawUpstreamStep),
    ...Array.from({ length: perMinute(20) }, drawPreset),
    ...drawStrangers(),
    ...Array.from({ length: perMinute(size) }, () => drawPlannedStop('entry', draw(size))),
    ...drawOverlap(),
    ...Array.from({ length: perMinute(6) }, drawCrowd),
  ];
  return {
    ...{ seed, durationMs, controlHosts, entryHosts: size, upstreams },
    callers: Math.min(6 * size, maxCallers),
    steps: steps
      .filter(({ atMs }) => atMs < startMs + faultMs)
      .sort((first, second) => first.atMs - second.atMs),
  };
}
