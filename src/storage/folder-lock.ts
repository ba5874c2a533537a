/**
 * Keeps a second process out of a data folder. The lock is the one LevelDB holds on a database,
 * here an empty one; the operating system gives it up when the process ends in any way.
 */
import { rm } from 'node:fs/promises';
import path from 'node:path';
import { ClassicLevel } from 'classic-level';
import { levelErrorCode } from './domain-database.js';

/** Another process uses the data folder. */
export class DataFolderInUseError extends Error {
  constructor(folder: string) {
    super(`data folder ${folder} is in use by another process`);
  }
}

/**
 * Lock folders held by this process. LevelDB must not be asked for the same lock twice in one
 * process: it closes a second handle of the lock file, and POSIX record locks end with that.
 */
const HELD = new Set<string>();

/** A held lock. */
export class FolderLock {
  private constructor(
    private readonly level: ClassicLevel,
    private readonly heldName: string,
  ) {}

  /** Takes the lock; rejects with {@link DataFolderInUseError} where another holds it. */
  static async take(folder: string, lockFolder: string): Promise<FolderLock> {
    const heldName = path.resolve(lockFolder);
    if (HELD.has(heldName)) throw new DataFolderInUseError(folder);
    HELD.add(heldName);
    try {
      return new FolderLock(await openLock(folder, lockFolder), heldName);
    } catch (error) {
      HELD.delete(heldName);
      throw error;
    }
  }

  /** Gives the lock up. */
  async release(): Promise<void> {
    await this.level.close();
    HELD.delete(this.heldName);
  }
}

async function openLock(folder: string, lockFolder: string): Promise<ClassicLevel> {
  try {
    return await openLevel(lockFolder);
  } catch (error) {
    if (levelErrorCode(error) === 'LEVEL_LOCKED') throw new DataFolderInUseError(folder);
  }
  // The lock was free, but the empty database that bears it is damaged.
  await rm(lockFolder, { recursive: true, force: true });
  return openLevel(lockFolder);
}

async function openLevel(lockFolder: string): Promise<ClassicLevel> {
  const level = new ClassicLevel(lockFolder);
  await level.open();
  return level;
}
