import type { ListenAddress } from '../domain/settings/DaemonSettings.ts';

/** Formats an address as `ip:port`, with brackets around an IPv6 address. */
export default function formatAddress({ ip, port }: ListenAddress): string {
  return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
}
