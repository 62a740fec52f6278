/** Seeds that have once failed, with the cause. */
import type { SoakOptions } from './soak.js'

/** A seed that failed. */
export interface Regression extends SoakOptions {
  readonly cause: string
}

/** Every seed that has ever failed. */
export const REGRESSIONS: readonly Regression[] = [
  { seed: 1001, seconds: 24, gateways: 4, cause: 'SIGTERM, sent again while a gateway drained, cut its open requests' },
  { seed: 1002, seconds: 24, gateways: 4, cause: 'of the soak itself: an outgoing connection took the port of a gateway that was down' },
  { seed: 9, seconds: 24, gateways: 4, cause: 'a request that ends upstreams was sent on where their ends showed by their entries only' }
]
