import { readFile } from 'node:fs/promises';

const bounds = {
  drain: '2000ms',
  grace: '6s',
  retryBudgetRatio: 0.2,
  retryWindow: '10s',
  retryBudgetExtra: 62,
};

function findValue(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

function formatValue(value, isJson) {
  if (isJson) return JSON.stringify(value);
  if (value === undefined || value === null) return '';
  return Array.isArray(value) ? value.join(',') : String(value);
}

/** Fills in a settings template of the deploy folder as the platform does. */
export async function renderTemplate(file, fields) {
  const text = await readFile(file, 'utf8');
  return text.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, path, json) =>
    formatValue(findValue(fields, path), json !== undefined),
  );
}

/** The fields of the platform's settings file for one machine of a small deployment. */
export function createFields(machine) {
  return {
    ...{ nodeName: machine.name, ip: machine.ip, zone: machine.zone, region: 'r1' },
    ...{ bootstrap: machine.isFirstStart, dataDir: machine.dataFolder },
    listen: machine.listen,
    internalPorts: [7540, 7555],
    seeds: machine.seeds,
    zones: Object.fromEntries(machine.zones.map((zone) => [zone, 'r1'])),
    faultTolerance: { machines: 1, zones: 0, regions: 0 },
    bounds,
  };
}

/** A configuration with one safe and one unsafe route, each to a service of its own. */
export function createConfig(version, changes = {}, services = ['history', 'kilns']) {
  const common = { host: 'a.example', priority: 1, maxAttempts: 2, objective: '1000ms' };
  return {
    version,
    routes: [
      {
        ...{ ...common, name: 'look', pathPrefix: '/look/', kind: 'safe' },
        ...{ timeout: '3000ms', service: 'history', ...changes.look },
      },
      {
        ...{ ...common, name: 'book', pathPrefix: '/book/', kind: 'unsafe' },
        ...{ timeout: '4000ms', service: 'kilns', ...changes.book },
      },
    ],
    services: services.map((name) => ({
      ...{ name, healthPath: '/health', maxConns: 390, protocol: 'h1', tls: false },
    })),
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864 },
      ...{ headerTimeout: '3000ms', idleTimeout: '15000ms', ...changes.limits },
    },
  };
}
