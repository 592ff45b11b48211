import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

const maxKeptBytes = 200_000;

/** One process of the example, started and stopped by the script. */
export default class ManagedProcess {
  readonly name: string;

  private readonly child: ChildProcess;

  private text = '';

  private readonly ended: Promise<number | string>;

  /** `variables` are added to those of this process. */
  constructor(
    name: string,
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
  ) {
    this.name = name;
    this.child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...variables },
    });
    const keep = (chunk: Buffer): void => {
      this.text = (this.text + chunk.toString()).slice(-maxKeptBytes);
    };
    this.child.stdout?.on('data', keep);
    this.child.stderr?.on('data', keep);
    this.ended = new Promise((resolve) => {
      // The output is whole only when the streams have closed too.
      this.child.once('close', (code, signal) => resolve(code ?? signal ?? 'unknown'));
    });
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** What the process wrote last. */
  get output(): string {
    return this.text;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** The exit code or the signal that ended the process. */
  waitEnd(): Promise<number | string> {
    return this.ended;
  }

  /** Asks the process to stop and returns its exit code. */
  stop(): Promise<number | string> {
    return this.endWith('SIGTERM');
  }

  /** Ends the process at once. */
  kill(): Promise<number | string> {
    return this.endWith('SIGKILL');
  }

  /** Stops the process in place, as a frozen host does. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  private endWith(signal: NodeJS.Signals): Promise<number | string> {
    if (this.isRunning) this.child.kill(signal);
    return this.ended;
  }
}
