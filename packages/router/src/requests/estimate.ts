/** Estimates the cost of a request before it runs. The estimate is rough and is corrected when the request ends. */
import type { ServiceConfig } from '@fuchsiaworks/settings'

/** Approximate number of bytes of text per token. */
const BYTES_PER_TOKEN = 4

/** Output tokens assumed for a request without a maximum. */
const DEFAULT_OUTPUT_TOKENS = 256

/** Approximate fraction of the caller's maximum that a response uses. */
const USED_OUTPUT_FRACTION = 0.5

/** Approximate time for which a request occupies the upstream of a service of kind `plain`. */
const DEFAULT_BUSY_MS = 50

/** Matches the token limit of the caller; avoids parsing the body as JSON. */
const MAX_TOKENS_PATTERN = /"max(?:_completion)?_tokens"\s*:\s*(\d{1,7})/

const estimateOutputTokens = (body: Buffer): number => {
  const found = MAX_TOKENS_PATTERN.exec(body.toString('latin1'))?.[1]
  return found === undefined ? DEFAULT_OUTPUT_TOKENS : Number(found) * USED_OUTPUT_FRACTION
}

/**
 * Estimates the cost of a request.
 *
 * @param service - configuration of the service
 * @param body - buffered prefix of the body
 * @param length - length of the complete body in bytes if known, otherwise of the prefix
 * @returns cost units, at least 1
 */
export const estimateCost = (service: ServiceConfig, body: Buffer, length: number): number => {
  const { cost } = service
  if (service.kind === 'plain') return Math.max(1, DEFAULT_BUSY_MS * cost.busyMilli)
  return Math.max(1, length / BYTES_PER_TOKEN * cost.promptToken + estimateOutputTokens(body) * cost.outputToken)
}
