/** Small helpers that every package may use. */

/**
 * Ends an exhaustive switch; the compiler refuses it while a variant is unhandled.
 *
 * @param value - what no case took
 */
export const assertNever = (value: never): never => {
  throw new TypeError(`unhandled variant ${JSON.stringify(value)}`)
}

/**
 * Reads a map, filling a missing entry first.
 *
 * @param map - changed in place when the key is missing
 * @param key - the key
 * @param create - makes the value for a missing key
 * @returns the present or new value
 */
export const getOrMake = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}

/**
 * Keeps a number within two bounds.
 *
 * @param value - the number
 * @param low - smallest result
 * @param high - largest result
 * @returns the nearest number within the bounds
 */
export const clamp = (value: number, low: number, high: number): number => Math.min(high, Math.max(low, value))
