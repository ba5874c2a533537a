/** The two deployments of wardwing's first users, as the demo and the benches run them. */

/** One service of model workers. */
export interface DemoService {
  readonly model: string;
  readonly workers: number;
}

/** One deployment. */
export interface DemoDeployment {
  readonly name: string;
  readonly region: string;
  readonly zones: readonly string[];
  /** Service the trainer draws from. */
  readonly training: DemoService;
  /** Service of interactive traffic only. */
  readonly portal: DemoService;
  readonly trainer: string;
  /** Account of interactive callers. */
  readonly caller: string;
  /** Versions a token may be behind the newest. */
  readonly stalenessBound: number;
  readonly samplesPerStep: number;
  /** Time between two new weight versions, in milliseconds. */
  readonly versionInterval: number;
}

/** The insurers' association in Amman. */
export const ASSOCIATION: DemoDeployment = {
  name: 'association',
  region: 'amman',
  zones: ['abdali-hall', 'sweifieh-hall', 'marka-hall'],
  training: { model: 'model-bench', workers: 6 },
  portal: { model: 'member-portal', workers: 3 },
  trainer: 'wording-trainer',
  caller: 'broker',
  stalenessBound: 1,
  samplesPerStep: 96,
  versionInterval: 9_000,
};

/** The textile orders cooperative in Kigali. */
export const COOPERATIVE: DemoDeployment = {
  name: 'cooperative',
  region: 'kigali',
  zones: ['gikondo-hall', 'kicukiro-hall', 'nyarugenge-hall'],
  training: { model: 'draft-writers', workers: 8 },
  portal: { model: 'order-desk', workers: 3 },
  trainer: 'confirmation-trainer',
  caller: 'clerk',
  stalenessBound: 2,
  samplesPerStep: 128,
  versionInterval: 8_000,
};

/** Both deployments. */
export const DEPLOYMENTS: readonly DemoDeployment[] = [ASSOCIATION, COOPERATIVE];

/** Nodes in each zone. */
export const NODES_PER_ZONE = 2;
