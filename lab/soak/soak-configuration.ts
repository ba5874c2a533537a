/** The configuration of the soak as the operator writes it. */
import { COLD } from './cold-request-counter.js';
import {
  ALLOWED_REGION,
  LOOKUP_PREFIX,
  REGIONAL_PREFIX,
  ROLLOUT_PREFIX,
  SOAK_HOST,
  UPLOAD_PREFIX,
} from './soak-call.js';
import type { SoakTenantKeys } from './soak-keys.js';
import { SCORE_PREFIX } from './worker-stand-in.js';

/** The model that trainers draw from, and the services of its workers and of lookups. */
export const MODEL = 'soak-model';
export const MODEL_SERVICE = 'models';
export const LOOKUP_SERVICE = 'lookups';

/** Routes, services, tenants and limits of one version. */
export function soakConfiguration(version: number, tenants: readonly SoakTenantKeys[]): unknown {
  const route = { host: SOAK_HOST, timeout_ms: 10_000, target_latency_ms: 200, priority: 1 };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'lookups',
        path_prefix: LOOKUP_PREFIX,
        kind: 'read_only',
        service: LOOKUP_SERVICE,
        max_attempts: 3,
      },
      {
        ...route,
        name: 'regional',
        path_prefix: REGIONAL_PREFIX,
        kind: 'read_only',
        service: LOOKUP_SERVICE,
        max_attempts: 3,
        allowed_regions: [ALLOWED_REGION],
      },
      {
        ...route,
        name: 'uploads',
        path_prefix: UPLOAD_PREFIX,
        kind: 'read_only',
        service: LOOKUP_SERVICE,
        max_attempts: 3,
      },
      {
        ...route,
        name: 'scores',
        path_prefix: SCORE_PREFIX,
        kind: 'read_only',
        service: LOOKUP_SERVICE,
        max_attempts: 4,
      },
      {
        ...route,
        name: 'rollouts',
        path_prefix: ROLLOUT_PREFIX,
        kind: 'rollout',
        service: MODEL_SERVICE,
        max_attempts: 3,
        resumable: true,
        max_queue_s: 60,
      },
    ],
    services: [
      {
        name: MODEL_SERVICE,
        engine: { models: [{ name: MODEL }] },
        cold_start_s: COLD.seconds,
        cold_per_s: COLD.requestsPerSecond,
      },
      { name: LOOKUP_SERVICE },
    ],
    tenants,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 33_554_432,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}
