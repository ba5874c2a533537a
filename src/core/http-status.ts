/** HTTP status codes that the code compares or sends (RFC 9110, RFC 6585). */
export const HTTP_STATUS = {
  ok: 200,
  accepted: 202,
  noContent: 204,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  requestTimeout: 408,
  contentTooLarge: 413,
  tooManyRequests: 429,
  serviceUnavailable: 503,
} as const;

/** Lowest status of client and server errors. */
export const FIRST_ERROR_STATUS = 400;

/** Lowest status of server errors. */
export const FIRST_SERVER_ERROR_STATUS = 500;
