/** Preloaded into a gateway process: the wall clock jumps forwards or backwards on each signal. */

/** Offsets of the clock, applied in turn. */
const CLOCK_OFFSETS_MS = [7000, -7000, 3_600_000, 0] as const

const realNow = Date.now
let jumps = 0

process.on('SIGUSR2', () => {
  const offset = CLOCK_OFFSETS_MS[jumps % CLOCK_OFFSETS_MS.length] ?? 0
  jumps += 1
  Date.now = () => realNow() + offset
})
