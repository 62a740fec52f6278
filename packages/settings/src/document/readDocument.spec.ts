import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { toValue } from './nodes.js'
import { readDocument } from './readDocument.js'

const read = (text: string) => readDocument({ name: 'f', text })

describe('readDocument', () => {
  it('accepts comments and trailing commas', () => {
    const { root, findings } = read('{ // one\n "a": 1, /* two */ "b": [2,],\n}')
    expect(findings).toEqual([])
    expect(root && toValue(root)).toEqual({ a: 1, b: [2] })
  })

  it('reports line and column of syntax errors, duplicate keys and forbidden keys', () => {
    const { findings } = read('{\n  "a": 1\n  "b": 2,\n  "a": 3,\n  "__proto__": {}\n}')
    expect(findings.map(({ place, path, message }) => `${place.line}:${place.column} ${path} ${message}`)).toEqual([
      '3:3  comma expected',
      '4:3 a duplicate key; it was first given in line 2',
      '5:3 __proto__ this key is not allowed'
    ])
  })

  it('reports nesting that would exhaust the stack of the parser', () => {
    expect(read('['.repeat(200_000)).findings.map(finding => finding.message)).toEqual(['nested deeper than 64 levels'])
  })

  it('never throws, and parses valid JSON like JSON.parse', () => {
    fc.assert(fc.property(fc.oneof(fc.string({ unit: 'binary' }), fc.string({ unit: fc.constantFrom(...'{}[]",:0a\\/*\n') })), text => {
      const { root, findings } = read(text)
      expect(root === undefined ? findings.length > 0 : true).toEqual(true)
    }), { seed: 4, numRuns: 500 })
    fc.assert(fc.property(fc.json({ noUnicodeString: false }), text => {
      const { root, findings } = read(text)
      if (findings.length === 0) expect(root && toValue(root)).toEqual(JSON.parse(text))
    }), { seed: 5 })
  })
})
