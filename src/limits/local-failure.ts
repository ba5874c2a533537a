/** Failures of this machine, which say nothing about the process that was called. */

/** Codes of errors for want of descriptors, memory or local ports. */
const LOCAL_CODES = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EADDRNOTAVAIL']);

/** Whether a call failed before anything was sent, for want of something on this machine. */
export function isLocalFailure({ code }: NodeJS.ErrnoException): boolean {
  return code !== undefined && LOCAL_CODES.has(code);
}
