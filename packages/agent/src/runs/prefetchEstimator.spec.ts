import { describe, it } from 'node:test'
import { expect } from 'earl'
import { PrefetchEstimator } from './prefetchEstimator.js'

describe('pull prefetching', () => {
  it('covers the round trip of a pull when runs are short', () => {
    const estimator = new PrefetchEstimator()
    estimator.recordRoundTrip(4)
    estimator.recordRunDuration(40)
    expect(estimator.prefetchCount(4)).toEqual(1)
    expect(estimator.prefetchCount(20)).toEqual(2)
  })

  it('prefetches nothing when runs are long, or before the first measurements', () => {
    const estimator = new PrefetchEstimator()
    expect(estimator.prefetchCount(8)).toEqual(0)
    estimator.recordRoundTrip(2)
    estimator.recordRunDuration(2_000)
    expect(estimator.prefetchCount(8)).toEqual(0)
  })

  it('never prefetches more requests than there are slots, however slow pulls are', () => {
    const estimator = new PrefetchEstimator()
    estimator.recordRoundTrip(1_000)
    estimator.recordRunDuration(10)
    expect(estimator.prefetchCount(4)).toEqual(4)
  })
})
