/** Makes changes of a folder durable: files created in it, and its own creation. */
import { mkdir, open } from 'node:fs/promises';
import path from 'node:path';

/** Syncs the entries of a folder to its disk. */
export type FolderSync = (folder: string) => Promise<void>;

/** Codes of systems that do not open or sync folders, or do not let this process do so. */
const UNSUPPORTED_CODES: ReadonlySet<unknown> = new Set(['EINVAL', 'EISDIR', 'EPERM', 'EACCES']);

/** Syncs a folder where the system supports it. */
export async function syncFolder(folder: string): Promise<void> {
  try {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  } catch (error) {
    if (!isUnsupported(error)) throw error;
  }
}

/** Creates a folder and its missing parents, and syncs the folders that contain them. */
export async function createFolder(folder: string, sync: FolderSync): Promise<void> {
  const target = path.resolve(folder);
  const firstCreated = await mkdir(target, { recursive: true });
  const top = path.dirname(firstCreated ?? target);
  // The last parent is synced on each start, because the start that created the folder may have
  // failed before its sync.
  for (let parent = path.dirname(target); ; parent = path.dirname(parent)) {
    await sync(parent);
    if (parent.length <= top.length) return;
  }
}

function isUnsupported(error: unknown): boolean {
  return error instanceof Error && 'code' in error && UNSUPPORTED_CODES.has(error.code);
}
