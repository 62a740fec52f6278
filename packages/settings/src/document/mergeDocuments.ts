/** Lays an overlay over a base document: only what the overlay names changes. */
import type { LocatedNode, Member, ObjectNode } from './documentTypes.js'

const isNull = (node: LocatedNode): boolean => node.kind === 'scalar' && node.value === null

/** The key of an object that both documents have stays where the base has it. */
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
 * Merges two documents. Objects merge by key, null removes a key, lists and scalars replace.
 * Every value of the result keeps the place in the file that set it.
 *
 * @param base - the document that is changed, or undefined where the base has nothing
 * @param overlay - the changes
 * @returns the merged document
 */
export const mergeDocuments = (base: LocatedNode | undefined, overlay: LocatedNode): LocatedNode => {
  if (overlay.kind !== 'object') return overlay
  return mergeObjects(base?.kind === 'object' ? base : undefined, overlay)
}
