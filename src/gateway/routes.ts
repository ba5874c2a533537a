/**
 * All routes that need a token.
 */
import type { Result } from 'true-myth';
import type { Intent } from '../config-feed/configuration.js';
import type { Failure } from '../errors/error-kinds.js';
import type { CallHandler } from './call-handler.js';
import { completionRoutes } from './completion-routes.js';
import type { GatewayLimits } from './gateway-options.js';
import { operatorRoutes } from './operator-routes.js';
import { rolloutRoutes } from './rollout-routes.js';
import type { Route } from './route-table.js';

/** What routes need besides the request. */
export interface RouteEnvironment {
  readonly limits: GatewayLimits;
  /** For the node's clock. */
  readonly handler: Pick<CallHandler, 'now'>;
  readonly parseIntent: (value: unknown) => Result<Intent, Failure>;
}

/** The routes of all families. */
export function allRoutes(environment: RouteEnvironment): readonly Route[] {
  return [
    ...completionRoutes(environment),
    ...rolloutRoutes(environment),
    ...operatorRoutes(environment),
  ];
}
