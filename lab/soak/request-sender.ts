/** How workers of the soak tell which gateway sent a request. */

/** Header in which a gateway is named; the gateways' programs know nothing of it. */
export const SENDER_HEADER = 'x-soak-sender';

/** Variables of a gateway's environment: its name and its address. */
export const SENDER_NAME = 'SOAK_SENDER_NAME';
export const SENDER_HOST = 'SOAK_SENDER_HOST';

/** The gateway that sent a request to a worker. */
export interface RequestSender {
  /** `undefined` where no gateway is named. */
  readonly name: string | undefined;
  /** Whether it ran and reached the store all the time lately. */
  readonly isInTouch: boolean;
}
