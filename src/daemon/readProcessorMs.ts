/** Returns the processor time that this process has used since its start, in milliseconds. */
export default function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}
