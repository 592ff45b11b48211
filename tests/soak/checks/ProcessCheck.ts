import type SoakCheck from '../SoakCheck.ts';
import type { CheckResult } from '../SoakCheck.ts';
import type SoakHistory from '../SoakHistory.ts';

// What the platform gives a process.
const maxMemoryMib = 250;

/** No process ends by itself, and none uses more memory than it is given. */
export default class ProcessCheck implements SoakCheck {
  readonly name = 'PROCESS';

  checkHistory(history: SoakHistory): CheckResult {
    const exits = history.list('host_exited');
    const measured = history.list('memory_measured');
    const violations = [
      ...exits.map(
        ({ host, code, at }) => `${host} ended by itself at ${Math.round(at)} ms: ${code}`,
      ),
      ...measured
        .filter(({ mib }) => mib > maxMemoryMib)
        .map(({ host, mib }) => `${host} used ${Math.round(mib)} MiB`),
    ];
    return { checked: measured.length, violations };
  }
}
