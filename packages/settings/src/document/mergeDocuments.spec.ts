import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import type { LocatedNode } from './documentTypes.js'
import { mergeDocuments } from './mergeDocuments.js'
import { findNode, leavesOf, toValue } from './nodes.js'
import { readDocument } from './readDocument.js'

const read = (name: string, value: unknown): LocatedNode => {
  const { root } = readDocument({ name, text: JSON.stringify(value, null, 1) })
  if (root === undefined) throw new Error('no document')
  return root
}

const tree = fc.letrec<{ value: unknown, object: Record<string, unknown> }>(tie => ({
  value: fc.oneof({ depthSize: 'small' }, fc.integer(), fc.boolean(), fc.array(fc.integer(), { maxLength: 2 }), tie('object')),
  object: fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), tie('value'), { maxKeys: 3 })
})).object

describe('mergeDocuments', () => {
  it('merges objects by key, removes keys set to null, and replaces lists and scalars', () => {
    const base = read('base', { a: { b: 1, c: [1, 2] }, d: 2 })
    const overlay = read('overlay', { a: { b: null, c: [3], e: { f: 1, g: null } } })
    expect(toValue(mergeDocuments(base, overlay))).toEqual({ a: { c: [3], e: { f: 1 } }, d: 2 })
  })

  it('returns the base unchanged if the overlay is empty', () => {
    fc.assert(fc.property(tree, value => {
      const base = read('base', value)
      expect(mergeDocuments(base, read('overlay', {}))).toEqual(base)
    }), { seed: 1 })
  })

  it('takes each value with its place from the overlay if present there, otherwise from the base', () => {
    fc.assert(fc.property(tree, tree, (baseValue, overlayValue) => {
      const base = read('base', baseValue)
      const overlay = read('overlay', overlayValue)
      for (const { path, node } of leavesOf(mergeDocuments(base, overlay))) {
        if (node.kind === 'object') continue
        const source = node.place.file === 'overlay' ? overlay : base
        expect(findNode(source, path)).toEqual(node)
        if (source === base) expect(findNode(overlay, path)).toEqual(undefined)
      }
    }), { seed: 2 })
  })

  it('is idempotent: applying the overlay again does not change the result', () => {
    fc.assert(fc.property(tree, tree, (baseValue, overlayValue) => {
      const overlay = read('overlay', overlayValue)
      const once = mergeDocuments(read('base', baseValue), overlay)
      expect(toValue(mergeDocuments(once, overlay))).toEqual(toValue(once))
    }), { seed: 3 })
  })
})
