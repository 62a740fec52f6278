/** Breaks ties with a seeded hash. */

/** FNV-1a parameters. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Ranks names in a different order for each seed, so that processes do not all choose the same one.
 *
 * @param seed - seed of the process
 * @param name - name to rank
 * @returns an unsigned 32-bit number
 */
export const tieRank = (seed: number, name: string): number => {
  let hash = (FNV_OFFSET ^ seed) >>> 0
  for (let i = 0; i < name.length; i++) hash = Math.imul(hash ^ name.charCodeAt(i), FNV_PRIME) >>> 0
  return hash
}
