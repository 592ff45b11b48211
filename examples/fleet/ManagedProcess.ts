import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';

const maxOutputLength = 200_000;
const outputPollMs = 10;

/** A child process of the example whose output is captured. */
export default class ManagedProcess {
  readonly name: string;

  private readonly child: ChildProcess;

  private capturedOutput = '';

  private readonly exited: Promise<number | string>;

  /**
   * Starts Node.js with the arguments; `variables` are added to the current environment, and
   * `limits` are the arguments of the shell's `ulimit`, for example `-n 300`.
   */
  constructor(
    name: string,
    args: readonly string[],
    variables: Readonly<Record<string, string>> = {},
    limits?: string,
  ) {
    this.name = name;
    const [file = '', ...rest] =
      limits === undefined
        ? [process.execPath, ...args]
        : ['sh', '-c', `ulimit ${limits} && exec "$0" "$@"`, process.execPath, ...args];
    this.child = spawn(file, rest, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...variables },
    });
    const appendOutput = (chunk: Buffer): void => {
      this.capturedOutput = (this.capturedOutput + chunk.toString()).slice(-maxOutputLength);
    };
    this.child.stdout?.on('data', appendOutput);
    this.child.stderr?.on('data', appendOutput);
    this.exited = new Promise((resolve) => {
      // `exit` may be emitted before the last output; `close` is emitted after it.
      this.child.once('close', (code, signal) => resolve(code ?? signal ?? 'unknown'));
    });
  }

  get pid(): number | undefined {
    return this.child.pid;
  }

  /** The last 200,000 characters that the process wrote to standard output and standard error. */
  get output(): string {
    return this.capturedOutput;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Resolves when the process has written the text, or has ended. */
  async waitOutput(text: string): Promise<void> {
    while (this.isRunning && !this.capturedOutput.includes(text)) await sleep(outputPollMs);
  }

  /** Resolves with the exit code of the process or with the signal that terminated it. */
  waitExit(): Promise<number | string> {
    return this.exited;
  }

  /** Sends SIGTERM; resolves like `waitExit`. */
  stop(): Promise<number | string> {
    return this.sendSignal('SIGTERM');
  }

  /** Sends SIGKILL; resolves like `waitExit`. */
  kill(): Promise<number | string> {
    return this.sendSignal('SIGKILL');
  }

  /** Suspends the process with SIGSTOP, to simulate a frozen host, until `resume` is called. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  /** Sends a signal to a process that still runs; resolves like `waitExit`. */
  sendSignal(signal: NodeJS.Signals): Promise<number | string> {
    if (this.isRunning) this.child.kill(signal);
    return this.exited;
  }
}
