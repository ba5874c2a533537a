/**
 * The closed list of node-to-node messages: each module's own messages under the module's name.
 */
import type { ConfigurationFeedMessage } from '../config-feed/messages.js';
import type { DispatchMessage } from '../dispatch/messages.js';
import type { LedgerMessage } from '../ledger/messages.js';
import type { MachineFeedMessage } from '../machine-feed/messages.js';
import type { MembershipMessage } from '../membership/messages.js';
import type { RolloutMessage } from '../rollouts/messages.js';
import type { WorkerLoadMessage } from '../routing/messages.js';
import type { StatusMessage } from './status-messages.js';

/** A message between two nodes. */
export type PeerMessage =
  | { readonly module: 'membership'; readonly body: MembershipMessage }
  | { readonly module: 'config-feed'; readonly body: ConfigurationFeedMessage }
  | { readonly module: 'machine-feed'; readonly body: MachineFeedMessage }
  | { readonly module: 'ledger'; readonly body: LedgerMessage }
  | { readonly module: 'dispatch'; readonly body: DispatchMessage }
  | { readonly module: 'rollouts'; readonly body: RolloutMessage }
  | { readonly module: 'routing'; readonly body: WorkerLoadMessage }
  | { readonly module: 'status'; readonly body: StatusMessage };
