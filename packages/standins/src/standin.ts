/** Command line of the stand-ins: one process runs one stand-in or a group. */
import { readFileSync } from 'node:fs'
import meow from 'meow'
import { openControlServer, openGroupControlServer } from './control/controlServer.js'
import { STANDIN_KINDS, type StandinSpec, UnknownKindError, startStandin } from './startStandin.js'

const cli = meow(`
  Usage
    $ node packages/standins/dist/standin.js KIND [options]

  KIND is ${STANDIN_KINDS.join(', ')} or group.
  Prints one line of JSON with the URL and the control URL once it listens.

  Options
    --port          port for its clients (default: a free one)
    --control-port  port for GET and PUT /knobs, GET /facts and POST commands (default: a free one)
    --knobs         initial knobs, as JSON
    --documents     configuration: file with { base, overlays } as JSON
    --hosts         hosts: file with the list as JSON
    --target        delay: HOST:PORT to forward connections to
    --file          group: file with { NAME: { kind, port, knobs, documents, hosts, target } } as JSON;
                    control paths then begin with /NAME
`, {
  importMeta: import.meta,
  flags: {
    port: { type: 'number', default: 0 },
    controlPort: { type: 'number', default: 0 },
    knobs: { type: 'string', default: '{}' },
    documents: { type: 'string' },
    hosts: { type: 'string' },
    target: { type: 'string' },
    file: { type: 'string' }
  }
})

const { flags } = cli

const readJsonFile = (path: string | undefined): unknown => path === undefined ? undefined : JSON.parse(readFileSync(path, 'utf8'))

const parseTarget = (text: string | undefined): unknown => {
  const [host, port] = text?.split(':') ?? []
  return host === undefined ? undefined : { host, port: Number(port) }
}

const parseSpec = (kind: string): StandinSpec => {
  if (!STANDIN_KINDS.some(known => known === kind)) throw new UnknownKindError(kind)
  const { port, documents, hosts, target } = flags
  const fields = { kind, port, knobs: JSON.parse(flags.knobs), documents: readJsonFile(documents), hosts: readJsonFile(hosts), target: parseTarget(target) }
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as unknown as StandinSpec
}

const startGroup = async (file: string): Promise<Array<{ close: () => Promise<void> }>> => {
  const specs = readJsonFile(file) as Record<string, StandinSpec>
  const started = await Promise.all(Object.entries(specs).map(async ([name, spec]) => [name, await startStandin(spec)] as const))
  const control = await openGroupControlServer(new Map(started), flags.controlPort)
  const urls = Object.fromEntries(started.map(([name, standin]) => [name, standin.url]))
  console.log(JSON.stringify({ urls, controlUrl: control.url }))
  return [...started.map(([, standin]) => standin), control]
}

const startOne = async (kind: string): Promise<Array<{ close: () => Promise<void> }>> => {
  const standin = await startStandin(parseSpec(kind))
  const control = await openControlServer(standin, flags.controlPort)
  console.log(JSON.stringify({ url: standin.url, controlUrl: control.url }))
  return [standin, control]
}

const [kind] = cli.input
if (kind === undefined) cli.showHelp(2)
const running = await (kind === 'group' ? startGroup(flags.file ?? '') : startOne(kind ?? ''))

const stop = (): void => {
  Promise.all(running.map(async closable => { await closable.close() })).then(() => { process.exit(0) }, () => { process.exit(1) })
}
process.once('SIGTERM', stop)
process.once('SIGINT', stop)
