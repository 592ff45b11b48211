import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

const maxOutputLength = 200_000;

/** A child process of the example whose output is captured. */
export default class ManagedProcess {
  readonly name: string;

  private readonly child: ChildProcess;

  private text = '';

  private readonly exited: Promise<number | string>;

  /** `variables` are added to the environment of this process. */
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
    const appendOutput = (chunk: Buffer): void => {
      this.text = (this.text + chunk.toString()).slice(-maxOutputLength);
    };
    this.child.stdout?.on('data', appendOutput);
    this.child.stderr?.on('data', appendOutput);
    this.exited = new Promise((resolve) => {
      // `exit` may come before the last output; `close` comes after it.
      this.child.once('close', (code, signal) => resolve(code ?? signal ?? 'unknown'));
    });
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** The latest output of the process, standard output and standard error together. */
  get output(): string {
    return this.text;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Resolves with the exit code of the process or with the signal that ended it. */
  waitEnd(): Promise<number | string> {
    return this.exited;
  }

  /** Sends SIGTERM; resolves like `waitEnd`. */
  stop(): Promise<number | string> {
    return this.endWithSignal('SIGTERM');
  }

  /** Sends SIGKILL; resolves like `waitEnd`. */
  kill(): Promise<number | string> {
    return this.endWithSignal('SIGKILL');
  }

  /** Suspends the process with SIGSTOP, to simulate a frozen host, until `resume` is called. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  private endWithSignal(signal: NodeJS.Signals): Promise<number | string> {
    if (this.isRunning) this.child.kill(signal);
    return this.exited;
  }
}
