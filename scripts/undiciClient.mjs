/**
 * The parts of undici that gateways use. The complete package also loads fetch, caches and mocks, which takes a fifth of the
 * start time of a gateway; that matters when a killed gateway is restarted in operation.
 */
import api from '../node_modules/undici/lib/api/index.js'
import connect from '../node_modules/undici/lib/core/connect.js'
import errors from '../node_modules/undici/lib/core/errors.js'
import Client from '../node_modules/undici/lib/dispatcher/client.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, api)

export { Client, connect as buildConnector, errors }
