import { describe, it } from 'node:test'
import { FindingsError } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { parseSettings } from './parseSettings.js'

const agent = `{
  "role": "agent", "host": "h1", "zone": "east", "site": "main",
  "admin": { "key": "0123456789abcdef" },
  "platform": { "configuration": "http://127.0.0.1:1/config", "hosts": "http://127.0.0.1:1/hosts" },
  "linkKey": "0123456789abcdef", // shared by the fleet
  "upstream": "w1", "upstreamUrl": "http://127.0.0.1:2"
}`

const findingsOf = (text: string): string[] => {
  try {
    parseSettings({ name: 'agent.jsonc', text })
    return []
  } catch (err) {
    if (!(err instanceof FindingsError)) throw err
    return err.findings.map(({ place, path }) => `${place.line} ${path}`)
  }
}

describe('process settings', () => {
  it('listen on the loopback address by default', () => {
    const settings = parseSettings({ name: 'agent.jsonc', text: agent })
    expect(settings.admin).toEqual({ host: '127.0.0.1', port: 0, key: '0123456789abcdef' })
    expect(settings.role).toEqual('agent')
  })

  it('report unknown keys, short secrets and invalid URLs in one run', () => {
    const text = agent.replace('"upstream"', '"upstrem"').replace('http://127.0.0.1:2', 'ftp://x').replace('"linkKey": "0123456789abcdef"', '"linkKey": "x"')
    expect(findingsOf(text)).toEqual(['1 upstream', '5 linkKey', '6 upstrem', '6 upstreamUrl'])
  })

  it('report an unknown role', () => {
    expect(findingsOf('{"role": "rooter"}')).toEqual(['1 role'])
  })
})
