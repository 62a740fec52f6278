/** Schemas of the limits and timings that hold for every process. */
import * as z from 'zod'
import { bytes, milliseconds, wholeNumber } from '../document/scalars.js'

/** Longest timing in milliseconds. */
const DAY_MS = 86_400_000

/** Largest body in bytes. */
const TEBIBYTE = 2 ** 40

/** Limits of one router towards its callers. */
export const limitsSchema = z.strictObject({
  headerBytes: bytes(1024, 1_048_576).default(16_384).describe('Largest header section of a request.'),
  bodyBytes: bytes(0, TEBIBYTE).default(67_108_864).describe('Largest body of a request.'),
  bufferedBodyBytes: bytes(1024, 16_777_216).default(65_536)
    .describe('First part of a body that is read before the request queues, and the credit of a body on a link.'),
  openRequests: wholeNumber('requests', 1, 1e7).default(20_000).describe('Requests open at one router.'),
  connectionsPerWorkspace: wholeNumber('connections', 1, 1e7).default(12_000).describe('Connections of one workspace open at one router.'),
  headersTimeoutMs: milliseconds(10, DAY_MS).default(10_000).describe('Time in which a caller must have sent all headers.'),
  bodyIdleTimeoutMs: milliseconds(10, DAY_MS).default(30_000).describe('Longest silence of a caller while it sends a body or has to take one.')
})

const retries = z.strictObject({
  percent: wholeNumber('percent', 0, 100).default(10).describe('Retries for each hundred first attempts.')
})

const keys = z.strictObject({
  rememberMs: milliseconds(1000, DAY_MS * 7).default(600_000).describe('Time for which the home of an Idempotency-Key remembers it.'),
  maxRemembered: wholeNumber('keys', 1, 1e7).default(100_000).describe('Keys that one upstream remembers.')
})

const quarantine = z.strictObject({
  ms: milliseconds(1000, DAY_MS).default(600_000).describe('Time for which a request that ended upstreams is refused.'),
  crashes: wholeNumber('crashes', 1, 100).default(2).describe('Upstreams that a request may end before it is refused.')
})

const fairness = z.strictObject({
  exchangeMs: milliseconds(10, 60_000).default(250).describe('Time between two exchanges of service totals.'),
  creditMs: milliseconds(0, 600_000).default(1000).describe('Service that an idle workspace may save up, as time of one upstream.')
})

const links = z.strictObject({
  heartbeatMs: milliseconds(10, 60_000).default(500).describe('Time between two heartbeats.'),
  idleHeartbeatMs: milliseconds(10, 60_000).default(2000).describe('Time between two heartbeats of a link that carries nothing else.'),
  silenceMs: milliseconds(20, 600_000).default(2000).describe('Time without any frame after which a connection is replaced.'),
  expiryMs: milliseconds(100, DAY_MS).default(20_000).describe('Time without a connection after which a session ends.'),
  pullTtlMs: milliseconds(10, 600_000).default(2000).describe('Age from which an agent declines what a pull brought.')
})

/** The sections that concern processes rather than callers. */
export const processSchemas = {
  retries: retries.prefault({}).describe('Budget for retries of idempotent requests.'),
  keys: keys.prefault({}).describe('Memory of Idempotency-Keys.'),
  quarantine: quarantine.prefault({}).describe('Requests that end upstreams.'),
  fairness: fairness.prefault({}).describe('Exchange of service totals between processes.'),
  links: links.prefault({}).describe('Links between processes.')
}
