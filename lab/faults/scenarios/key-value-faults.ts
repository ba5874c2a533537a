/** Scenarios in which the key-value service is away, slow, limited, or loses its answers. */
import { pause } from '../../demo/running-deployment.js';
import type { FaultScenario } from '../scenario.js';

const BEFORE_FAULT_MILLISECONDS = 5_000;
const HALF_OUTAGE_MILLISECONDS = 30_000;
const DEGRADED_MILLISECONDS = 20_000;
const AFTER_FAULT_MILLISECONDS = 10_000;
const VERSION_INTERVAL_MILLISECONDS = 6_000;
const DEGRADED = { rateLimitPerSecond: 30, slownessMilliseconds: 300, lostAnswerRate: 0.3 };
const HEALTHY = { rateLimitPerSecond: null, slownessMilliseconds: 0, lostAnswerRate: 0 };

/** The service answers nothing for half a minute, then refuses for half a minute. */
export const keyValueOutage: FaultScenario = {
  name: 'key-value-outage',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    const { running } = context;
    await pause(BEFORE_FAULT_MILLISECONDS);
    await running.setKeyValueFaults({ outage: 'hang' });
    context.say('the key-value service hangs');
    await pause(HALF_OUTAGE_MILLISECONDS);
    await running.setKeyValueFaults({ outage: 'refuse' });
    context.say('the key-value service refuses');
    await pause(HALF_OUTAGE_MILLISECONDS);
    await running.setKeyValueFaults({ outage: 'none' });
    context.say('the key-value service is back');
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

/** The service is limited, slow and loses answers, while a node is killed and comes back. */
export const keyValueDegraded: FaultScenario = {
  name: 'key-value-degraded',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    const { running, load } = context;
    await pause(BEFORE_FAULT_MILLISECONDS);
    await running.setKeyValueFaults(DEGRADED);
    context.say('the key-value service is limited, slow and loses answers');
    await pause(BEFORE_FAULT_MILLISECONDS);
    const node = running.nodes[1];
    if (node === undefined) throw new Error('there is no second node');
    load.avoided.add(node.address);
    await running.killNode(node);
    running.restartNode(node);
    context.say(`${node.name} was killed and started again`);
    await running.untilReady(node);
    load.avoided.delete(node.address);
    await pause(DEGRADED_MILLISECONDS);
    await running.setKeyValueFaults(HEALTHY);
    context.say('the key-value service is well again');
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};
