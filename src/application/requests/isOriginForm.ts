/**
 * Whether a request target is a path with an optional query (RFC 9112, section 3.2.1) and its
 * percent-escapes can be decoded. The absolute and authority forms are meant for forward proxies,
 * and this is a reverse proxy.
 */
export default function isOriginForm(target: string): boolean {
  if (!target.startsWith('/') || target.includes('#')) return false;
  try {
    decodeURIComponent(target.split('?', 1)[0] ?? target);
    return true;
  } catch {
    return false;
  }
}
