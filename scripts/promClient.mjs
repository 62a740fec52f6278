/** The parts of prom-client that gateways use. The complete package also loads summaries, the push gateway and the cluster module, which add to the start time. */
import Counter from '../node_modules/prom-client/lib/counter.js'
import Gauge from '../node_modules/prom-client/lib/gauge.js'
import Histogram from '../node_modules/prom-client/lib/histogram.js'
import Registry from '../node_modules/prom-client/lib/registry.js'

export { Counter, Gauge, Histogram, Registry }
