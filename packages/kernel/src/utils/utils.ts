/** Small helpers shared by all packages. */

/**
 * Default branch of an exhaustive switch; compilation fails while a variant is unhandled.
 *
 * @param value - the unhandled value
 */
export const assertNever = (value: never): never => {
  throw new TypeError(`unhandled variant ${JSON.stringify(value)}`)
}

/**
 * Reads a map entry, inserting it first if it is missing.
 *
 * @param map - modified when the key is missing
 * @param key - the key
 * @param create - creates the value for a missing key
 * @returns the existing or new value
 */
export const getOrMake = <K, V>(map: Map<K, V>, key: K, create: () => V): V => {
  const existing = map.get(key)
  if (existing !== undefined) return existing
  const created = create()
  map.set(key, created)
  return created
}

/**
 * Limits a number to a range.
 *
 * @param value - the number
 * @param low - lower bound
 * @param high - upper bound
 */
export const clamp = (value: number, low: number, high: number): number => Math.min(high, Math.max(low, value))
