/** Writes the settings file of one node of a deployment that runs on loopback. */
import { contentDigest } from '../../src/core/hashing.js';
import type { DemoDeployment } from './deployments.js';

/** Variable that hands nodes their shared token. */
export const PEER_TOKEN_VARIABLE = 'WARDWING_PEER_TOKEN';

/** Secret tokens of the accounts; digests of them go into the settings. */
export const ACCOUNT_TOKENS = {
  trainer: 'demo-trainer-token',
  caller: 'demo-caller-token',
  operator: 'demo-operator-token',
} as const;

/** What is particular to one node. */
export interface NodeSettingsText {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly peerAddress: string;
  /** Address by which other nodes reach it. */
  readonly advertised: string;
  readonly keyValue: string;
  readonly machineList: string;
}

/** The text of a settings file. */
export function nodeSettingsText(deployment: DemoDeployment, node: NodeSettingsText): string {
  const { zones, region, trainer, caller } = deployment;
  const zoneList = zones.map((zone) => `{ name = "${zone}", region = "${region}" }`);
  const account = (name: string, role: string, token: string): string =>
    `[[accounts]]\nname = "${name}"\nrole = "${role}"\ntoken_digest = "${contentDigest(token)}"`;
  return [
    '[node]',
    `name = "${node.name}"`,
    `zone = "${node.zone}"`,
    `region = "${region}"`,
    `machine = "machine-${node.name}"`,
    `listen = "${node.address}"`,
    `peer_listen = "${node.peerAddress}"`,
    `peer_advertise = "${node.advertised}"`,
    '[platform]',
    `key_value = ["${node.keyValue}"]`,
    `machine_list = "${node.machineList}"`,
    '[fleet]',
    `zones = [${zoneList.join(', ')}]`,
    'replicas = 5',
    '[peers]',
    `token_variable = "${PEER_TOKEN_VARIABLE}"`,
    account(trainer, 'trainer', ACCOUNT_TOKENS.trainer),
    account(caller, 'caller', ACCOUNT_TOKENS.caller),
    account('operator', 'operator', ACCOUNT_TOKENS.operator),
    '',
  ].join('\n');
}
