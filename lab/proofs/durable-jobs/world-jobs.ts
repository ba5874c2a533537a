/** The jobs of the proof's world, and the route and worker for their scores. */
import type { JobSpecification } from '../../../src/jobs/job-records.js';
import { RouteMatcher } from '../../../src/serving/route-matcher.js';
import type { Route, WorkerRecord } from '../../../src/serving/traffic-configuration.js';
import { scoreRequestOf } from './job-oracle.js';

/** Jobs of the world, and items of each. */
export const JOBS = 2;
export const ITEMS = 12;

/** Items have no route, so none is sent; their texts are made whole by the steps of a run. */
const SCORE_ROUTE: Route = {
  name: 'scores',
  host: 'scorer',
  pathPrefix: '/',
  kind: 'read-only',
  timeout: 2_000,
  targetLatency: 100,
  priority: 0,
  maxAttempts: 4,
  targets: [{ service: 'scorers', weight: 1 }],
  isPublic: false,
  resumable: false,
  singleVersion: false,
  maxQueue: 60_000,
  resultDeadline: 60_000,
};

/** The worker that gives scores. */
export const SCORE_WORKER: WorkerRecord = {
  id: 'scorer',
  service: 'scorers',
  address: 'scorer',
  zone: 'zone',
  slots: 2 * ITEMS * JOBS,
  draining: false,
  models: [],
};

const LIMITS = { maxHeaderBytes: 0, maxBodyBytes: 0, headerTimeout: 0, idleTimeout: 0 };
/** The routes of the world: scores alone. */
export const WORLD_ROUTES = new RouteMatcher({
  version: 1,
  routes: [SCORE_ROUTE],
  services: [],
  limits: LIMITS,
  tenants: undefined,
});

/** Name of a job. */
export function jobName(job: number): string {
  return `job-${job % JOBS}`;
}

/** A job as it is submitted. */
export function specificationOf(job: number, submittedAt: number): JobSpecification {
  return {
    id: jobName(job),
    host: 'host',
    path: '/',
    step: 0,
    model: 'model',
    minVersion: 1,
    desiredCount: 1,
    submittedAt,
    items: Array.from({ length: ITEMS }, (_, index) => ({
      id: `item-${index}`,
      path: '/',
      headers: [],
      body: '',
      tokens: 1,
      group: 'group',
      expectedLength: 1,
      scoreRequest: {
        id: scoreRequestOf(jobName(job), `item-${index}`),
        host: SCORE_ROUTE.host,
        path: '/',
        body: '',
      },
    })),
  };
}
