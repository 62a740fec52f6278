/** Loaded into a gateway's process before its program: the wall clock leaps at each signal, forth and back. */

/** Milliseconds by which the clock is off, by turns. */
const OFFSETS_MS = [7000, -7000, 3_600_000, 0] as const

const trueNow = Date.now
let leaps = 0

process.on('SIGUSR2', () => {
  const offset = OFFSETS_MS[leaps % OFFSETS_MS.length] ?? 0
  leaps += 1
  Date.now = () => trueNow() + offset
})
