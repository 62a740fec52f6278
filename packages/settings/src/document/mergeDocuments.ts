/** Merges an overlay into a base document. Keys that the overlay does not mention keep their values. */
import type { LocatedNode, Member, ObjectNode } from './documentTypes.js'

const isNull = (node: LocatedNode): boolean => node.kind === 'scalar' && node.value === null

/** Merges one member. The key of an object that exists in both documents keeps its place in the base. */
const mergeMember = (base: Member | undefined, overlay: Member): Member => ({
  keyPlace: base?.value.kind === 'object' && overlay.value.kind === 'object' ? base.keyPlace : overlay.keyPlace,
  value: mergeDocuments(base?.value, overlay.value)
})

const mergeObjects = (base: ObjectNode | undefined, overlay: ObjectNode): ObjectNode => {
  const members = new Map<string, Member>(base?.members)
  for (const [key, member] of overlay.members) {
    if (isNull(member.value)) members.delete(key)
    else members.set(key, mergeMember(members.get(key), member))
  }
  return { kind: 'object', place: base?.place ?? overlay.place, members }
}

/**
 * Merges two documents. Objects are merged by key, null removes a key, and lists and scalars replace the base's value.
 * Every value of the result keeps its place in the file that set it.
 *
 * @param base - the base document, or undefined if the base has no value here
 * @param overlay - the overlay
 */
export const mergeDocuments = (base: LocatedNode | undefined, overlay: LocatedNode): LocatedNode => {
  if (overlay.kind !== 'object') return overlay
  return mergeObjects(base?.kind === 'object' ? base : undefined, overlay)
}
