/**
 * Load generator of the node bench as a process of its own, so that its work does not disturb what
 * is measured: takes a list of {@link LoadOrder} as JSON and runs them one after the other; prints
 * the {@link LoadFigures} of each as a line of JSON.
 */
import { type LoadOrder, runLoad } from './node-load.js';

const orders = JSON.parse(process.argv[2] ?? '[]') as readonly LoadOrder[];
for (const order of orders) console.log(JSON.stringify(await runLoad(order)));
