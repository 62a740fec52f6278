/** In place of hot-shots: gateways serve their metrics to Prometheus and never create a StatsD client. */
export default class {
  constructor () {
    throw new Error('StatsD is not part of this bundle')
  }
}
