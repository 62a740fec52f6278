/**
 * The parts of undici that gateways use. The whole package brings fetch, caches and mocks, whose loading is a fifth of the
 * start of a gateway that is killed in the middle of a day.
 */
import api from '../node_modules/undici/lib/api/index.js'
import connect from '../node_modules/undici/lib/core/connect.js'
import Client from '../node_modules/undici/lib/dispatcher/client.js'
import Dispatcher from '../node_modules/undici/lib/dispatcher/dispatcher.js'

Object.assign(Dispatcher.prototype, api)

export { Client, connect as buildConnector }
