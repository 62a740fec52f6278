/** Estimates what a request costs before it has run. Hints of callers are rough; the end corrects them. */
import type { ServiceConfig } from '@fuchsiaworks/settings'

/** Bytes of text in a token, about. */
const BYTES_PER_TOKEN = 4

/** Tokens expected from a request that sets no maximum. */
const DEFAULT_OUTPUT_TOKENS = 256

/** Share of the caller's maximum that answers use, about. */
const USED_OUTPUT_FRACTION = 0.5

/** Milliseconds that a call to a plain service keeps it busy, about. */
const DEFAULT_BUSY_MS = 50

/** Finds the caller's limit without parsing the whole body. */
const MAX_TOKENS_PATTERN = /"max(?:_completion)?_tokens"\s*:\s*(\d{1,7})/

const estimateOutputTokens = (body: Buffer): number => {
  const found = MAX_TOKENS_PATTERN.exec(body.toString('latin1'))?.[1]
  return found === undefined ? DEFAULT_OUTPUT_TOKENS : Number(found) * USED_OUTPUT_FRACTION
}

/**
 * Estimates the cost of a request.
 *
 * @param service - configuration of the service
 * @param body - first part of the body, or all of it
 * @param length - length of the whole body in bytes, where known
 * @returns cost units, at least 1
 */
export const estimateCost = (service: ServiceConfig, body: Buffer, length: number): number => {
  const { cost } = service
  if (service.kind === 'plain') return Math.max(1, DEFAULT_BUSY_MS * cost.busyMilli)
  return Math.max(1, length / BYTES_PER_TOKEN * cost.promptToken + estimateOutputTokens(body) * cost.outputToken)
}
