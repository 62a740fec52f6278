import { describe, it } from 'node:test'
import { setLogLevel } from '@fuchsiaworks/kernel'
import { expect } from 'earl'
import { type Script, startUnderTest } from '../process/gatewayFixtures.js'

setLogLevel('error')

const statusOf = (response: string): number => Number(/^HTTP\/1\.1 (\d+)/.exec(response)?.[1])

/** Upstream that runs each request and responds with a status that promises the contrary, without stating it. */
const runAndRespond = (status: number): Script => (req, res) => { res.writeHead(status, { seal: 's', try: String(req.headers['try']) }).end('ran') }

describe('a status that promises that a request has not run, from an upstream that does not state so', () => {
  for (const status of [408, 429, 503]) {
    it(`is not passed on for a request that may run once: ${status}`, async () => {
      const gateway = await startUnderTest(runAndRespond(status), runAndRespond(status))
      try {
        const received = await gateway.sendRequest('/once/x')
        expect(statusOf(received)).toEqual(502)
        expect(received).not.toMatchRegex(/seal/)
        expect(gateway.arrivals.length).toEqual(1)
      } finally {
        await gateway.close()
      }
    })

    it(`is passed on unchanged for a request that may run again: ${status}`, async () => {
      const gateway = await startUnderTest(runAndRespond(status))
      try {
        expect(await gateway.sendRequest('/safe/x')).toMatchRegex(new RegExp(`^HTTP/1\\.1 ${status}[^]*seal: s[^]*ran$`))
      } finally {
        await gateway.close()
      }
    })
  }
})
