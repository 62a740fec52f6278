/** Command line of the stand-ins: one process for each. */
import { readFileSync } from 'node:fs'
import meow from 'meow'
import { type ConfigurationKnobs, type Documents, startConfiguration } from './configuration/configuration.js'
import { openControl } from './control/controlServer.js'
import type { Standin } from './control/standinTypes.js'
import { type DelayKnobs, startDelay } from './delay/delay.js'
import { startEngine } from './engine/engine.js'
import { type HostsKnobs, type ListedHost, startHosts } from './hosts/hosts.js'
import { startPlain } from './plain/plain.js'

const cli = meow(`
  Usage
    $ node packages/standins/dist/standin.js KIND [options]

  KIND is engine, plain, configuration, hosts or delay.

  Options
    --port          port for its clients (default: a free one)
    --control-port  port for GET and PUT /knobs, GET /facts and POST orders (default: a free one)
    --knobs         first knobs, as JSON
    --documents     configuration: file with { base, overlays } as JSON
    --hosts         hosts: file with the list as JSON
    --target        delay: HOST:PORT that it leads to
`, {
  importMeta: import.meta,
  flags: {
    port: { type: 'number', default: 0 },
    controlPort: { type: 'number', default: 0 },
    knobs: { type: 'string', default: '{}' },
    documents: { type: 'string' },
    hosts: { type: 'string' },
    target: { type: 'string' }
  }
})

const { flags } = cli

const readJsonFile = <T>(path: string): T => JSON.parse(readFileSync(path, 'utf8')) as T

const parseTarget = (text: string | undefined): { host: string, port: number } => {
  const [host, port] = text?.split(':') ?? []
  if (host === undefined || port === undefined) throw new TypeError('--target must be HOST:PORT')
  return { host, port: Number(port) }
}

const start = async (kind: string | undefined): Promise<Standin<unknown>> => {
  const port = flags.port
  const knobs: object = JSON.parse(flags.knobs) as object
  switch (kind) {
    case 'engine': return await startEngine({ port, knobs }) as Standin<unknown>
    case 'plain': return await startPlain({ port, knobs }) as Standin<unknown>
    case 'configuration': {
      const documents = flags.documents === undefined ? {} : { documents: readJsonFile<Documents>(flags.documents) }
      return await startConfiguration({ port, knobs: knobs as Partial<ConfigurationKnobs>, ...documents }) as Standin<unknown>
    }
    case 'hosts': {
      const hosts = flags.hosts === undefined ? {} : { hosts: readJsonFile<ListedHost[]>(flags.hosts) }
      return await startHosts({ port, knobs: knobs as Partial<HostsKnobs>, ...hosts }) as Standin<unknown>
    }
    case 'delay':
      return await startDelay({ port, knobs: knobs as Partial<DelayKnobs>, target: parseTarget(flags.target) }) as Standin<unknown>
    default:
      return cli.showHelp(2)
  }
}

const standin = await start(cli.input[0])
const control = await openControl(standin, flags.controlPort)
console.log(JSON.stringify({ url: standin.url, controlUrl: control.url }))

const stop = (): void => {
  Promise.all([standin.close(), control.close()]).then(() => { process.exit(0) }, () => { process.exit(1) })
}
process.once('SIGTERM', stop)
process.once('SIGINT', stop)
