/** Decides whether a response on an upstream's connection is the one to the request in flight. */

/** A response and what is known of its connection. */
export interface ReceivedResponse {
  /** Id of the request in flight. */
  readonly requestId: string
  /** Id that the response names; undefined when it names none. */
  readonly responseId: string | undefined
  /** True when the connection has carried no request before, so that it can hold no response to one. */
  readonly isFirstExchange: boolean
}

/**
 * `own`: the response to the request in flight; `other-request`: names another request; `unattributed`: names none, and may be an earlier response of its
 * connection.
 */
export type ResponseAttribution = 'own' | 'other-request' | 'unattributed'

/** Decides to which request a response belongs; only one of its `own` says anything of the request in flight. */
export const attributeResponse = ({ requestId, responseId, isFirstExchange }: ReceivedResponse): ResponseAttribution => {
  if (responseId !== undefined) return responseId === requestId ? 'own' : 'other-request'
  return isFirstExchange ? 'own' : 'unattributed'
}
