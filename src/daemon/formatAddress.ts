import type { ListenAddress } from '../domain/settings/DaemonSettings.ts';

/** The text form of an address, with brackets around an IPv6 number. */
export default function formatAddress({ ip, port }: ListenAddress): string {
  return ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
}
