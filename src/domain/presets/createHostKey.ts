/** Returns the form of a `Host` value in which routes and requests are compared. */
export default function createHostKey(host: string): string {
  return host.toLowerCase().replace(/:\d*$/, '');
}
