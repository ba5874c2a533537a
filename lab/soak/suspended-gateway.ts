/**
 * Starts a gateway whose steady clock stands still while its process is stopped by a signal. Nothing
 * outside a process can change its clocks, so this stands in its way to them.
 */
import { MARK_INTERVAL, SuspendableTime } from './suspendable-time.js';

const time = new SuspendableTime(performance.now.bind(performance));
performance.now = () => time.now();
setInterval(() => time.now(), MARK_INTERVAL).unref();
await import('../../platform/main.js');
