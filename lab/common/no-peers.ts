/** The peers of a node that is alone: nobody answers, and all work is its own. */
import type { JobPeers } from '../../src/jobs/job-peers.js';

/** Answers nothing. */
export const NO_PEERS: JobPeers = {
  keptWork: async () => new Map(),
  ownerListing: async () => undefined,
  endAtOwner: async () => false,
  surrenderedWork: async () => new Map(),
  likelyOwners: () => [],
  bodyAtOwner: async () => undefined,
  submitElsewhere: async () => ({ kind: 'here', mayRunElsewhere: false }),
  readElsewhere: async () => undefined,
  endElsewhere: async () => undefined,
  handOver: async () => {},
  moveAway: async () => false,
  needWeights: () => {},
};
