/** Rendezvous hashing (highest random weight): processes with the same member list choose the same member. */
import xxhash from 'xxhash-wasm'

/** Hashes a string to 32 uniformly distributed bits. */
export type StringHash = (text: string) => number

/**
 * Loads the hash that all processes of the fleet share.
 *
 * @returns a synchronous function
 */
export const loadStringHash = async (): Promise<StringHash> => {
  const { h32 } = await xxhash()
  return text => h32(text)
}

/**
 * Combines two hashes into the score of a pair.
 *
 * @param member - hash of the member
 * @param subject - hash of the placed item
 * @returns 32 uniformly distributed bits
 */
export const pairScore = (member: number, subject: number): number => {
  let mixed = Math.imul(member ^ Math.imul(subject, 0x9e3779b1), 0x85ebca6b)
  mixed ^= mixed >>> 15
  mixed = Math.imul(mixed ^ subject, 0xc2b2ae35)
  mixed ^= mixed >>> 13
  mixed = Math.imul(mixed, 0x27d4eb2f)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** A member with its precomputed hash. */
export interface HashedMember<T extends string> {
  readonly id: T
  readonly hash: number
}

/**
 * Precomputes the hashes of members.
 *
 * @param hash - the fleet's hash
 * @param members - names of the members
 * @returns the members with their hashes
 */
export const hashMembers = <T extends string>(hash: StringHash, members: Iterable<T>): Array<HashedMember<T>> =>
  [...members].map(id => ({ id, hash: hash(id) }))

/**
 * Compares two members for a subject; the higher score sorts first, ties are broken by name.
 *
 * @param a - one member
 * @param b - the other member
 * @param subject - hash of the placed item
 * @returns a negative number when `a` is preferred
 */
export const compareForSubject = <T extends string>(a: HashedMember<T>, b: HashedMember<T>, subject: number): number =>
  pairScore(b.hash, subject) - pairScore(a.hash, subject) || (a.id < b.id ? -1 : 1)

/**
 * Chooses the member for a subject.
 *
 * @param members - the candidates, in any order
 * @param subject - hash of the placed item
 * @returns the member with the highest score; undefined when there is none
 */
export const rendezvous = <T extends string>(members: ReadonlyArray<HashedMember<T>>, subject: number): T | undefined => {
  let best: HashedMember<T> | undefined
  for (const member of members) {
    if (best === undefined || compareForSubject(member, best, subject) < 0) best = member
  }
  return best?.id
}
