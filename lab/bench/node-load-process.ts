/**
 * Load generator of the node bench as a process of its own, so that its work does not disturb what
 * is measured: takes a {@link LoadOrder} as JSON, prints {@link LoadFigures} as JSON.
 */
import { type LoadOrder, runLoad } from './node-load.js';

const order = JSON.parse(process.argv[2] ?? '{}') as LoadOrder;
console.log(JSON.stringify(await runLoad(order)));
