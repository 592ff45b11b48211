import { isIP } from 'node:net';
import * as z from 'zod';

import type { ListenAddress } from '../../domain/settings/DaemonSettings.ts';

const expected = 'expected an IP address and a port such as 127.0.0.1:8080 or [::1]:8080';
const pattern = /^(?:\[(?<ipv6>[0-9a-fA-F:.]+)\]|(?<ipv4>[0-9.]+)):(?<port>\d{1,5})$/;

/** An address such as `127.0.0.1:8080`, as a string. */
export const addressTextSchema = z.string(expected).refine((text) => {
  const groups = pattern.exec(text)?.groups;
  const ip = groups?.ipv6 ?? groups?.ipv4 ?? '';
  return isIP(ip) !== 0 && Number(groups?.port) <= 65535;
}, expected);

/** An address, split into IP address and port. */
const listenAddressSchema = addressTextSchema.transform((text): ListenAddress => {
  const separator = text.lastIndexOf(':');
  return {
    ip: text.slice(0, separator).replace(/^\[|\]$/g, ''),
    port: Number(text.slice(separator + 1)),
  };
});

export default listenAddressSchema;
