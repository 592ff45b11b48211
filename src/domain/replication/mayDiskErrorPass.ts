// Descriptors, memory or room that others hold for a time; a limit on the size of files, which can
// be raised for a running process; an input or output error of a disk that is reached through a
// network or a controller.
const passingCodes: readonly (string | undefined)[] = [
  ...['EMFILE', 'ENFILE', 'ENOMEM', 'ENOSPC', 'EDQUOT', 'EFBIG', 'EIO', 'EAGAIN', 'EBUSY', 'EINTR'],
];

/**
 * Whether a disk operation that failed with this system error code may succeed later without an
 * operator; false for a file system that is read-only or a file that is missing or may not be used.
 */
export default function mayDiskErrorPass(code: string | undefined): boolean {
  return passingCodes.includes(code);
}
