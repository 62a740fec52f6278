/** Schemas of the limits and timings of processes. */
import * as z from 'zod'
import { bytes, milliseconds, wholeNumber } from '../document/scalars.js'

const DAY_MS = 86_400_000
const TEBIBYTE = 2 ** 40

/** Limits of one router on its callers. */
export const limitsSchema = z.strictObject({
  headerBytes: bytes(1024, 1_048_576).default(16_384).describe('Maximum size of the header section of a request.'),
  bodyBytes: bytes(0, TEBIBYTE).default(67_108_864).describe('Maximum size of the body of a request.'),
  bufferedBodyBytes: bytes(1024, 16_777_216).default(65_536)
    .describe('Bytes of a body that are read before the request is queued; also the flow-control credit of a body on a link.'),
  openRequests: wholeNumber('requests', 1, 1e7).default(20_000).describe('Maximum number of open requests at one router.'),
  connectionsPerWorkspace: wholeNumber('connections', 1, 1e7).default(12_000).describe('Maximum number of open connections of one workspace at one router.'),
  headersTimeoutMs: milliseconds(10, DAY_MS).default(10_000).describe('Time limit for a caller to send all headers.'),
  bodyIdleTimeoutMs: milliseconds(10, DAY_MS).default(30_000).describe('Idle timeout of a caller while it sends a request body or reads a response body.')
})

const retries = z.strictObject({
  percent: wholeNumber('percent', 0, 100).default(10).describe('Retries allowed per hundred first attempts.')
})

const keys = z.strictObject({
  rememberMs: milliseconds(1000, DAY_MS * 7).default(600_000).describe('Time for which the home (the owning upstream) of an Idempotency-Key stores it.'),
  maxRemembered: wholeNumber('keys', 1, 1e7).default(100_000).describe('Maximum number of keys stored for one upstream.')
})

const quarantine = z.strictObject({
  ms: milliseconds(1000, DAY_MS).default(600_000).describe('Time for which a request that crashed upstreams is refused.'),
  crashes: wholeNumber('crashes', 1, 100).default(2).describe('Number of upstreams that a request may crash before it is refused.')
})

const fairness = z.strictObject({
  exchangeMs: milliseconds(10, 60_000).default(250).describe('Interval of the exchange of service totals.'),
  creditMs: milliseconds(0, 600_000).default(1000).describe('Maximum service credit that an idle workspace accumulates, as service time of one upstream.')
})

const links = z.strictObject({
  heartbeatMs: milliseconds(10, 60_000).default(500).describe('Heartbeat interval of a link.'),
  idleHeartbeatMs: milliseconds(10, 60_000).default(2000).describe('Heartbeat interval of a link without other traffic.'),
  silenceMs: milliseconds(20, 600_000).default(2000).describe('Time without any received frame after which a connection is replaced.'),
  expiryMs: milliseconds(100, DAY_MS).default(20_000).describe('Time without a connection after which the session of a link ends.'),
  pullTtlMs: milliseconds(10, 600_000).default(2000).describe('Lifetime of a pull; the agent declines a request that arrives for an expired pull.')
})

/** Schemas of the sections that concern processes rather than callers. */
export const processSchemas = {
  retries: retries.prefault({}).describe('Budget for retries of idempotent requests.'),
  keys: keys.prefault({}).describe('Storage of Idempotency-Keys.'),
  quarantine: quarantine.prefault({}).describe('Quarantine of requests that crash upstreams.'),
  fairness: fairness.prefault({}).describe('Exchange of service totals between processes.'),
  links: links.prefault({}).describe('Links between processes.')
}
