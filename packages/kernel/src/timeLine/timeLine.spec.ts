import { describe, it } from 'node:test'
import { expect } from 'earl'
import { ManualClock } from '../clock/manualClock.js'
import { asId } from '../ids/ids.js'
import { TimeLine } from './timeLine.js'

describe('TimeLine', () => {
  it('keeps the newest entries in order once the ring buffer is full', () => {
    const timeLine = new TimeLine(new ManualClock(5), asId('h'), asId('i'), 3)
    for (let length = 0; length < 5; length++) timeLine.record({ kind: 'pause-seen', length })
    expect(timeLine.read(() => true).map(entry => entry.seq)).toEqual([2, 3, 4])
  })

  it('emits new entries on its stream', () => {
    const timeLine = new TimeLine(new ManualClock(), asId('h'), asId('i'))
    const seqs: number[] = []
    timeLine.entries.observe(entry => { seqs.push(entry.seq) }).catch(() => {})
    timeLine.record({ kind: 'pause-seen', length: 1 })
    timeLine.record({ kind: 'pause-seen', length: 2 })
    expect(seqs).toEqual([0, 1])
  })
})
