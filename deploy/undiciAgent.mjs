// Stands in for undici in the bundle. The index of undici also loads fetch, caches and WebSockets,
// none of which is used here: a fifth of the time and 6 MB of the memory that a process takes to
// start.
export { default as Agent } from '../node_modules/undici/lib/dispatcher/agent.js';
export { default as Pool } from '../node_modules/undici/lib/dispatcher/pool.js';
