/** Loaded into a gateway's process before its program: the wall clock leaps at each signal, forth and back. */

/** Milliseconds by which the clock is off, by turns. */
const CLOCK_OFFSETS_MS = [7000, -7000, 3_600_000, 0] as const

const realNow = Date.now
let jumps = 0

process.on('SIGUSR2', () => {
  const offset = CLOCK_OFFSETS_MS[jumps % CLOCK_OFFSETS_MS.length] ?? 0
  jumps += 1
  Date.now = () => realNow() + offset
})
