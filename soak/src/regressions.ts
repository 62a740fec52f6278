/** Seeds that have failed before, with the cause; `--regressions` runs them. */
import type { SoakOptions } from './soak.js'

/** A seed that has failed, with the options of that run. */
export interface Regression extends SoakOptions {
  readonly cause: string
}

export const REGRESSIONS: readonly Regression[] = [
  { seed: 1001, seconds: 24, gateways: 4, cause: 'a second SIGTERM during the drain of a gateway aborted its open requests' },
  { seed: 1002, seconds: 24, gateways: 4, cause: 'fault of the soak itself: an outgoing connection took the port of a stopped gateway' },
  { seed: 9, seconds: 24, gateways: 4, cause: 'a crash-causing request was still sent upstream where the crashes showed only by the entries of the upstreams' },
  { seed: 2, seconds: 24, gateways: 4, cause: 'callers that pressed on a gateway waited in its listen queue until they left' },
  { seed: 3, seconds: 24, gateways: 4, cause: 'as seed 2' },
  { seed: 5, seconds: 24, gateways: 4, cause: 'as seed 2' },
  { seed: 5031, seconds: 18, gateways: 4, cause: 'a store that came back from an older copy made the gateways forget that an upstream was cold' },
  { seed: 5032, seconds: 18, gateways: 4, cause: 'crashes of upstreams that no other request met were recognized too late, so that a request crashed all of a service' }
]
