/** The peers of a node that is alone: nobody answers, and all work is its own. */
import type { JobPeers } from '../../src/jobs/job-peers.js';

/** Answers nothing. */
export const NO_PEERS: JobPeers = {
  cachedWork: async () => new Map(),
  ownerListing: async () => undefined,
  cancelAtOwner: async () => false,
  releaseAtOwner: async () => new Map(),
  likelyOwners: () => [],
  bodyAtOwner: async () => undefined,
  submitElsewhere: async () => ({ kind: 'here', mayRunElsewhere: false }),
  readElsewhere: async () => undefined,
  cancelElsewhere: async () => undefined,
  offerReleased: async () => {},
  transferMisplaced: async () => false,
  reportWeightNeed: () => {},
};
