/** An operator over HTTP, as the demo and the tests with real processes use it. */
import { type JsonAnswer, requestJson } from './json-client.js';

const REQUEST_TIMEOUT_MILLISECONDS = 8_000;
const ATTEMPTS = 20;
const RETRY_PAUSE_MILLISECONDS = 300;

/** The written form of an intent; see docs/OPERATIONS/intents.md. */
export type IntentDraft = Readonly<Record<string, unknown>>;

/** Proposes, confirms and publishes. */
export class OperatorClient {
  constructor(
    private readonly addresses: () => readonly string[],
    private readonly token: string,
  ) {}

  /** Proposes an intent; gives the plan's id. */
  async propose(draft: IntentDraft): Promise<string> {
    const answer = await this.post('/v1/intents/propose', { draft });
    const document = answer.document as { readonly plan_id?: string; readonly planId?: string };
    const planId = document.plan_id ?? document.planId;
    if (planId === undefined) throw new Error(`no plan: ${JSON.stringify(answer.document)}`);
    return planId;
  }

  /** Confirms a plan. */
  confirm(planId: string): Promise<JsonAnswer> {
    return this.post('/v1/intents/confirm', { plan_id: planId });
  }

  /** Publishes a weight version. */
  publish(model: string, version: number): Promise<JsonAnswer> {
    const body = { version, digest: `digest-of-${model}-${version}`, bytes: 1_000_000 };
    return this.post(`/v1/models/${model}/versions`, body);
  }

  /** Asks for the state of the fleet. */
  status(): Promise<JsonAnswer | undefined> {
    const address = this.addresses()[0] ?? '';
    return requestJson({
      method: 'GET',
      path: '/v1/status',
      address,
      token: this.token,
      timeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
  }

  /** Asks one node after the other until one accepts. */
  private async post(path: string, body: unknown): Promise<JsonAnswer> {
    let last: JsonAnswer | undefined;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const addresses = this.addresses();
      const address = addresses[attempt % addresses.length] ?? '';
      last = await requestJson({
        method: 'POST',
        path,
        address,
        token: this.token,
        body,
        timeout: REQUEST_TIMEOUT_MILLISECONDS,
      });
      if (last !== undefined && last.status < 300) return last;
      await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MILLISECONDS));
    }
    throw new Error(`${path} failed: ${JSON.stringify(last)}`);
  }
}
