/** Random numbers for choices among peers and services. */
import { randomFillSync } from 'node:crypto'

/** Numbers drawn from the operating system at once, as each call to it is slow. */
const POOL_SIZE = 1024

/** @returns a function that returns numbers from 0 to below 1 */
export const createRandom = (): (() => number) => {
  const pool = new Uint32Array(POOL_SIZE)
  let next = POOL_SIZE
  return () => {
    if (next === POOL_SIZE) {
      randomFillSync(pool)
      next = 0
    }
    return (pool[next++] ?? 0) / 2 ** 32
  }
}
