// An upstream for tests. It announces itself to entry hosts, processes one request per slot at a
// time, and injects faults. A control listener serves GET /behaviour, POST /behaviour (JSON fields
// to change), GET /runs (number of runs by idempotency key), GET /counts, GET /processor (CPU time
// in microseconds) and POST /drain.
import { once } from 'node:events';
import { createServer, request as sendHttpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';

const { values: options } = parseArgs({
  options: {
    service: { type: 'string', default: 'history' },
    upstream: { type: 'string', default: 'history-1' },
    'failure-domain': { type: 'string', default: 'north' },
    address: { type: 'string', default: '127.0.0.1:0' },
    control: { type: 'string', default: '127.0.0.1:0' },
    // Addresses of the entry hosts to which announcements are sent, separated by commas.
    announce: { type: 'string', default: '' },
    slots: { type: 'string', default: '4' },
    queue: { type: 'string', default: '64' },
    'startup-ms': { type: 'string', default: '0' },
    'latency-ms': { type: 'string', default: '25' },
    'lease-ms': { type: 'string', default: '3000' },
  },
});
const [slots, maxQueue] = [Number(options.slots), Number(options.queue)];
const [latencyMs, leaseMs] = [Number(options['latency-ms']), Number(options['lease-ms'])];
const entryHosts = options.announce.split(',').filter((address) => address !== '');

// A share is the part of the requests that has the fault, from 0 to 1. These requests are evenly
// spaced, so that their counts are reproducible.
const behaviour = {
  slowFactor: 1,
  failShare: 0,
  wrongShare: 0,
  truncateShare: 0,
  // A late answer is sent this many ms after the deadline of its request.
  lateShare: 0,
  lateMs: 200,
  // The connection is reset before or after the operation runs.
  resetBeforeShare: 0,
  resetAfterShare: 0,
  // Faults alternate between active and inactive, each for this many ms; 0 keeps them active.
  flapMs: 0,
  shed: false,
  // GET /health reports a healthy upstream despite active faults.
  healthLies: false,
};
const counts = { received: 0, ran: 0, shed: 0, cancelled: 0, faults: 0 };
const runsByKey = new Map();
const drawCounts = new Map();
const waitingRequests = [];
const startedAt = Date.now();
let busySlots = 0;
let openRequests = 0;
let sequence = 0;
let state = 'starting';
const drainStarted = new AbortController();

function areFaultsActive() {
  if (behaviour.flapMs <= 0) return true;
  return Math.floor((Date.now() - startedAt) / behaviour.flapMs) % 2 === 0;
}

// Decides whether a request has the named fault. Returns true for `behaviour[name]` of the calls.
function drawFault(name) {
  const share = behaviour[name];
  if (share <= 0 || !areFaultsActive()) return false;
  const count = (drawCounts.get(name) ?? 0) + 1;
  drawCounts.set(name, count);
  const isHit = Math.floor(count * share + 1e-9) > Math.floor((count - 1) * share + 1e-9);
  if (isHit) counts.faults += 1;
  return isHit;
}

function hasFaults() {
  const hasShare = Object.entries(behaviour).some(
    ([name, value]) => name.endsWith('Share') && value > 0,
  );
  return behaviour.shed || (areFaultsActive() && (behaviour.slowFactor > 1 || hasShare));
}

function writeJson(response, status, value, headers = {}) {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.byteLength,
    ...(state === 'leaving' ? { connection: 'close' } : {}),
    ...headers,
  });
  response.end(body);
}

const readBody = async (request) => Buffer.concat(await request.toArray());

function refuseRequest(response, reason) {
  counts.shed += 1;
  const headers = {
    'retry-after': '1',
    'pistachiohoist-outcome': 'not-run',
    'pistachiohoist-load': String(busySlots),
  };
  writeJson(response, 503, { error: reason }, headers);
}

// Takes a slot, and waits for one if all are busy. Returns or resolves to true once the slot is
// taken, and to false when the caller cancels first.
function takeSlot(signal) {
  if (signal.aborted) return false;
  if (busySlots < slots) {
    busySlots += 1;
    return true;
  }
  return new Promise((resolve) => {
    const entry = {
      resolve,
      cancel: () => {
        counts.cancelled += 1;
        waitingRequests.splice(waitingRequests.indexOf(entry), 1);
        resolve(false);
      },
    };
    entry.grant = () => {
      signal.removeEventListener('abort', entry.cancel);
      resolve(true);
    };
    signal.addEventListener('abort', entry.cancel, { once: true });
    waitingRequests.push(entry);
  });
}

function releaseSlot() {
  const next = waitingRequests.shift();
  if (next) next.grant();
  else busySlots -= 1;
}

async function runOperation(request, body, signal) {
  const key =
    request.headers['idempotency-key'] ?? request.headers['pistachiohoist-request-id'] ?? 'none';
  counts.ran += 1;
  runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
  const isSlow = behaviour.slowFactor > 1 && areFaultsActive();
  try {
    await sleep(latencyMs * (isSlow ? behaviour.slowFactor : 1), undefined, { signal });
  } catch {
    counts.cancelled += 1;
  }
  return {
    service: options.service,
    upstream: options.upstream,
    method: request.method,
    target: request.url,
    requestId: request.headers['pistachiohoist-request-id'],
    bodyBytes: body.byteLength,
  };
}

async function writeOperationAnswer(request, response, value) {
  if (drawFault('resetAfterShare')) {
    request.socket.resetAndDestroy();
    return;
  }
  if (drawFault('lateShare')) {
    const deadline = Number(request.headers['pistachiohoist-deadline'] ?? Date.now());
    await sleep(Math.max(0, deadline - Date.now()) + behaviour.lateMs);
  }
  const headers = {
    'pistachiohoist-request-id': request.headers['pistachiohoist-request-id'] ?? '',
    'pistachiohoist-load': String(busySlots),
  };
  if (drawFault('truncateShare')) {
    response.writeHead(200, { ...headers, 'content-length': '1000' });
    response.write('{"part":', () => request.socket.destroy());
  } else if (drawFault('wrongShare')) {
    const wrongHeaders = { ...headers, 'pistachiohoist-request-id': 'request-of-another-caller' };
    writeJson(response, 200, { ...value, target: '/wrong', requestId: 'wrong' }, wrongHeaders);
  } else if (drawFault('failShare')) {
    writeJson(response, 500, { error: 'fault' }, headers);
  } else {
    writeJson(response, 200, value, headers);
  }
}

async function serveOperation(request, response) {
  counts.received += 1;
  if (drawFault('resetBeforeShare')) {
    request.socket.resetAndDestroy();
    return;
  }
  const caller = new AbortController();
  response.once('close', () => caller.abort());
  const body = await readBody(request);
  if (behaviour.shed || waitingRequests.length >= maxQueue) {
    refuseRequest(response, 'shedding load');
    return;
  }
  if (!(await takeSlot(caller.signal))) return;
  try {
    const deadline = Number(request.headers['pistachiohoist-deadline'] ?? Infinity);
    if (Date.now() >= deadline) {
      refuseRequest(response, 'deadline passed');
      return;
    }
    const value = await runOperation(request, body, caller.signal);
    if (!caller.signal.aborted) await writeOperationAnswer(request, response, value);
  } finally {
    releaseSlot();
  }
}

async function serveRequest(request, response) {
  if (request.url === '/health') {
    const isHealthy = behaviour.healthLies || (state === 'serving' && !hasFaults());
    writeJson(response, isHealthy ? 200 : 503, { state, healthy: isHealthy, load: busySlots });
    return;
  }
  openRequests += 1;
  response.once('close', () => {
    openRequests -= 1;
  });
  await serveOperation(request, response);
}

function openServer(listener, address) {
  const [ip, port] = address.split(':');
  const server = createServer((request, response) => {
    listener(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.listen(Number(port), ip);
  return once(server, 'listening').then(() => server);
}

function sendAnnouncement(entryHost, announcement) {
  return new Promise((resolve) => {
    const request = sendHttpRequest(`http://${entryHost}/announce`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      timeout: 500,
    });
    request.on('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200 || response.statusCode === 204);
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
    request.end(JSON.stringify(announcement));
  });
}

// Tries the entry hosts in turn until one accepts the announcement.
async function announceState(address) {
  sequence += 1;
  const announcement = {
    service: options.service,
    upstream: options.upstream,
    address,
    failure_domain: options['failure-domain'],
    slots,
    incarnation: startedAt,
    sequence,
    state,
    lease_ms: leaseMs,
  };
  for (let index = 0; index < entryHosts.length; index += 1) {
    const entryHost = entryHosts[(sequence + index) % entryHosts.length];
    if (await sendAnnouncement(entryHost, announcement)) return;
  }
}

const server = await openServer(serveRequest, options.address);
const address = `${server.address().address}:${server.address().port}`;

// Keeps serving for 3 s, during which entry hosts may still send requests.
async function drain() {
  if (state === 'leaving') return;
  state = 'leaving';
  drainStarted.abort();
  await announceState(address);
  await sleep(entryHosts.length > 0 ? 3000 : 0);
  while (openRequests > 0) await sleep(10);
  server.close().closeAllConnections();
  control.close().closeAllConnections();
}

async function serveControl(request, response) {
  const call = `${request.method} ${request.url}`;
  if (call === 'POST /behaviour') Object.assign(behaviour, JSON.parse(await readBody(request)));
  if (call === 'POST /drain') drain();
  const values = {
    '/runs': Object.fromEntries(runsByKey),
    '/counts': { ...counts, running: busySlots, open: openRequests },
    '/processor': process.cpuUsage(),
  };
  writeJson(response, 200, values[request.url] ?? { ...behaviour, state, address });
}

const control = await openServer(serveControl, options.control);
process.on('SIGTERM', drain);
const controlAddress = `${control.address().address}:${control.address().port}`;
process.stdout.write(`${JSON.stringify({ address, control: controlAddress })}\n`);

await announceState(address);
await sleep(Number(options['startup-ms']), undefined, { signal: drainStarted.signal }).catch(
  () => {},
);
if (state === 'starting') state = 'serving';
while (state === 'serving') {
  await announceState(address);
  await sleep(leaseMs / 3, undefined, { signal: drainStarted.signal }).catch(() => {});
}
