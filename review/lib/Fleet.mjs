import { spawn } from 'node:child_process';
import { mkdir, mkdtemp, open, rm, writeFile } from 'node:fs/promises';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { createFields, renderTemplate } from './settings.mjs';

const repository = fileURLToPath(new URL('../..', import.meta.url));
const ports = { front: 8548, ready: 8542, control: 8544 };
const usedPorts = [...Object.values(ports), 7540, 9464];
const pollMs = 20;

function checkFree(ip, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

/** Whether a listener accepts connections at the address. */
export function checkListening(ip, port) {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

/** The machines of a small deployment; each process has a loopback address of its own. */
export default class Fleet {
  machines = [];

  /** Instants at which control processes were started or ended, in milliseconds. */
  coreEvents = [];

  processes = new Map();

  constructor({ record, zones, control, entry }) {
    this.record = record;
    this.zones = zones;
    this.counts = { control, entry };
  }

  async start() {
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    this.network = await this.chooseNetwork();
    ['control', 'entry'].forEach((role) =>
      Array.from({ length: this.counts[role] }, (_, index) => this.addMachine(role, index)),
    );
    await Promise.all(this.control.map(({ dataFolder }) => mkdir(dataFolder)));
    await Promise.all(this.machines.map((machine) => this.startProcess(machine)));
    await this.waitAll((machine) => checkListening(machine.ip, ports[machine.mainPort]));
  }

  get control() {
    return this.machines.filter(({ role }) => role === 'control');
  }

  get entry() {
    return this.machines.filter(({ role }) => role === 'entry');
  }

  /** An unused loopback address for a target. */
  createIp(index) {
    return `${this.network}.${100 + index}`;
  }

  controlAddress(machine) {
    return `${machine.ip}:${ports.control}`;
  }

  isListening(machine) {
    return checkListening(machine.ip, ports[machine.mainPort]);
  }

  /** Starts the process of a machine with the command of the deploy file. */
  async startProcess(machine) {
    const { name, role, ip } = machine;
    const seeds = this.control.slice(0, 3).map((seed) => `${seed.ip}:${ports.control}`);
    const listen =
      role === 'control'
        ? { control: `${ip}:${ports.control}` }
        : { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` };
    const fields = createFields({ ...machine, seeds, listen, zones: this.zones });
    const file = join(this.folder, `${name}.yaml`);
    await writeFile(file, await renderTemplate(join(repository, `deploy/${role}.yaml`), fields));
    const log = await open(join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn('node', ['--max-old-space-size=160', 'target/start.mjs'], {
      cwd: repository,
      env: { PATH, HOME, LANG, PISTACHIOHOIST_BOOT: file },
      stdio: ['ignore', log.fd, log.fd],
    });
    await log.close();
    const exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => resolve(code ?? signal));
    });
    exited.then((end) => this.record({ event: 'process ended', name, pid: child.pid, end }));
    this.processes.set(name, { child, exited });
    this.record({ event: 'process started', name, pid: child.pid, ip });
    if (role === 'control') this.coreEvents.push(Date.now());
    Object.assign(machine, { isFirstStart: false });
  }

  sendSignal(machine, signal) {
    const { child } = this.processes.get(machine.name);
    this.record({ event: 'signal', name: machine.name, signal });
    if (machine.role === 'control') this.coreEvents.push(Date.now());
    child.kill(signal);
  }

  /** Sends SIGKILL and waits until the process is gone. */
  async kill(machine) {
    this.sendSignal(machine, 'SIGKILL');
    await this.processes.get(machine.name).exited;
  }

  /** Resolves when a check holds for every machine, and rejects after 30 s. */
  async waitAll(check, machines = this.machines) {
    const deadline = Date.now() + 30_000;
    await Promise.all(
      machines.map(async (machine) => {
        while (!(await check(machine))) {
          if (Date.now() > deadline) throw new Error(`${machine.name}: waited for 30 s`);
          await sleep(pollMs);
        }
      }),
    );
  }

  /** Ends all processes and removes their files. */
  async stop() {
    await Promise.all(
      [...this.processes.values()].map(async ({ child, exited }) => {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await exited;
      }),
    );
    await rm(this.folder, { recursive: true, force: true });
  }

  addMachine(role, index) {
    const position = this.machines.length + 1;
    const dataFolder = role === 'control' ? join(this.folder, `data-${index}`) : undefined;
    this.machines.push({
      ...{ name: `${role}-${index}`, role, dataFolder, isFirstStart: true },
      ...{ ip: `${this.network}.${position}`, zone: this.zones[index % this.zones.length] },
      mainPort: role === 'control' ? 'control' : 'front',
    });
  }

  /** Chooses a loopback network in which all ports are free. */
  async chooseNetwork() {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const ips = Array.from(
      { length: this.counts.control + this.counts.entry },
      (_, index) => `${network}.${index + 1}`,
    );
    const free = await Promise.all(
      ips.flatMap((ip) => usedPorts.map((port) => checkFree(ip, port))),
    );
    return free.every(Boolean) ? network : this.chooseNetwork();
  }
}
