import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';
import { stringify } from 'yaml';

import ManagedProcess from './ManagedProcess.ts';
import PortBlock from './PortBlock.ts';

const root = fileURLToPath(new URL('../..', import.meta.url));
const peerKey = 'example-peer-key-0001';
const operatorKey = 'example-operator-key-0001';
// With 200 ms, a readiness probe on a busy machine noticed a stopping host only after the host had
// closed its listener.
const stopGraceMs = 1000;

/** Name and listen addresses of a host of the fleet. */
export interface FleetHost {
  readonly host: string;
  readonly callers: string;
  readonly operators: string;
  readonly platform: string;
  readonly peers: string;
}

/** Exit code and output of one run of the operators' tool. */
export interface ToolRun {
  readonly code: number | string;
  readonly output: string;
}

/** A fleet of separate processes on loopback: control hosts, entry hosts and stand-in upstreams. */
export default class ProcessFleet {
  readonly controlHosts: FleetHost[] = [];

  readonly entryHosts: FleetHost[] = [];

  private readonly processes = new Map<string, ManagedProcess>();

  private readonly folder: string;

  private readonly ports: PortBlock;

  private constructor(folder: string, ports: PortBlock) {
    this.folder = folder;
    this.ports = ports;
  }

  /** Reserves ports and writes the settings of all hosts; starts nothing. */
  static async createFleet(sizes: {
    readonly controlHosts: number;
    readonly entryHosts: number;
  }): Promise<ProcessFleet> {
    const folder = await mkdtemp(path.join(tmpdir(), 'pistachiohoist-'));
    const fleet = new ProcessFleet(folder, await PortBlock.openBlock());
    await fleet.addHosts('control', sizes.controlHosts, fleet.controlHosts);
    await fleet.addHosts('entry', sizes.entryHosts, fleet.entryHosts);
    await fleet.writeSettings();
    return fleet;
  }

  /** Takes a loopback address that only this fleet uses. */
  async takeAddress(): Promise<string> {
    return `127.0.0.1:${await this.ports.takePort()}`;
  }

  getPath(name: string): string {
    return path.join(this.folder, name);
  }

  getProcess(name: string): ManagedProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`process "${name}" was not started`);
    return found;
  }

  startHost(host: string, nodeArguments: readonly string[] = []): ManagedProcess {
    const daemon = path.join(root, 'dist/daemon/main.js');
    const settings = this.getPath(`${host}.yaml`);
    return this.startProcess(host, [...nodeArguments, daemon, '--config', settings]);
  }

  startAllHosts(entryNodeArguments: readonly string[] = []): void {
    this.controlHosts.forEach(({ host }) => this.startHost(host));
    this.entryHosts.forEach(({ host }) => this.startHost(host, entryNodeArguments));
  }

  startProcess(name: string, args: readonly string[]): ManagedProcess {
    const started = new ManagedProcess(name, args);
    this.processes.set(name, started);
    return started;
  }

  /** Runs the operators' tool against all control hosts. */
  async runTool(args: readonly string[]): Promise<ToolRun> {
    const servers = this.controlHosts.flatMap(({ operators }) => ['--server', operators]);
    const tool = path.join(root, 'dist/cli/main.js');
    const key = ['--key-file', this.getPath('operator.key')];
    const run = new ManagedProcess('tool', [tool, ...args, ...servers, ...key]);
    const code = await run.waitEnd();
    return { code, output: run.output };
  }

  /** Resolves when the condition is true; rejects with its description after the timeout. */
  async waitUntil(
    description: string,
    condition: () => Promise<boolean>,
    timeoutMs = 30_000,
  ): Promise<void> {
    const deadline = Date.now() + timeoutMs;
    while (!(await condition())) {
      if (Date.now() > deadline) {
        throw new Error(
          `waitUntil: ${description}: not within ${timeoutMs} ms; exited: ${this.describeExited()}`,
        );
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
  }

  async isReady(host: FleetHost): Promise<boolean> {
    try {
      const answer = await request(`http://${host.platform}/ready`);
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Stops all processes and returns their exit codes by name. */
  async stopAll(): Promise<Readonly<Record<string, number | string>>> {
    const entries = await Promise.all(
      [...this.processes].map(async ([name, running]) => [name, await running.stop()] as const),
    );
    await rm(this.folder, { recursive: true, force: true });
    await this.ports.close();
    return Object.fromEntries(entries);
  }

  /** Describes the processes that have exited, each with the end of its output. */
  describeExited(): string {
    const exited = [...this.processes.values()].filter(({ isRunning }) => !isRunning);
    return exited.map(({ name, output }) => `${name} (${output.slice(-500)})`).join('; ') || 'none';
  }

  private async addHosts(role: string, count: number, hosts: FleetHost[]): Promise<void> {
    while (hosts.length < count) {
      hosts.push({
        host: `${role}-${hosts.length + 1}`,
        callers: await this.takeAddress(),
        operators: await this.takeAddress(),
        platform: await this.takeAddress(),
        peers: await this.takeAddress(),
      });
    }
  }

  private async writeSettings(): Promise<void> {
    const control = this.controlHosts.map(({ host, peers }) => ({ host, address: peers }));
    const common = { control, peer_key: peerKey, stop_grace_ms: stopGraceMs };
    const domains = ['north', 'centre', 'south'];
    const controlSettings = this.controlHosts.map((host, index) => ({
      ...common,
      host: host.host,
      failure_domain: domains[index % domains.length],
      role: 'control',
      listen: { operators: host.operators, platform: host.platform, peers: host.peers },
      operator_key: operatorKey,
      data_folder: this.getPath(`${host.host}.data`),
    }));
    const entrySettings = this.entryHosts.map((host, index) => ({
      ...common,
      host: host.host,
      failure_domain: domains[index % domains.length],
      role: 'entry',
      listen: { callers: host.callers, platform: host.platform, peers: host.peers },
    }));
    await Promise.all(
      [...controlSettings, ...entrySettings].map((settings) =>
        writeFile(this.getPath(`${settings.host}.yaml`), stringify(settings)),
      ),
    );
    await writeFile(this.getPath('operator.key'), `${operatorKey}\n`, { mode: 0o600 });
  }
}
