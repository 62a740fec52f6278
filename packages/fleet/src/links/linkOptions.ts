/** Link options from the settings of a process and the default configuration. */
import { readFileSync } from 'node:fs'
import { defaultFleetConfig, type FleetConfig, type ProcessSettings } from '@fuchsiaworks/settings'
import type { LinkOptions, LinkTls } from '@fuchsiaworks/wire'
import type { ProcessContext } from '../context/processContext.js'

const readTls = (tls: NonNullable<ProcessSettings['tls']>): LinkTls => ({
  cert: readFileSync(tls.cert, 'utf8'),
  key: readFileSync(tls.key, 'utf8'),
  ca: readFileSync(tls.ca, 'utf8')
})

/**
 * Builds the options of links. Timing comes from the defaults, because links open before any configuration is known.
 *
 * @param context - the process
 * @param links - heartbeat and time-out values in milliseconds
 * @returns options for both ends of a link
 */
export const linkOptions = (context: ProcessContext, links: FleetConfig['links'] = defaultFleetConfig.links): LinkOptions => {
  const { settings, clock, identity, random } = context
  return {
    identity,
    linkKey: settings.linkKey,
    clock,
    random,
    heartbeat: links.heartbeatMs,
    idleHeartbeat: links.idleHeartbeatMs,
    silence: links.silenceMs,
    expiry: links.expiryMs,
    ...(settings.tls === undefined ? {} : { tls: readTls(settings.tls) })
  }
}
