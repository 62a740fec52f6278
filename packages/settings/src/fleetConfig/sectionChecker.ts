/**
 * Validates the merged trees of one base file against the schema. Entries that an overlay does not change are the same
 * node objects in every merged tree, so that each is validated only once, regardless of the number of overlays.
 */
import type { Finding } from '@fuchsiaworks/kernel'
import { checkSchema, type SchemaResult } from '../document/checkSchema.js'
import type { LocatedNode, Member, ObjectNode } from '../document/documentTypes.js'
import { configSchema, type SectionName, sectionSchemas } from './configSchema.js'
import type { FleetConfig } from './fleetConfigTypes.js'

const SECTION_NAMES = Object.keys(sectionSchemas) as SectionName[]

/** Result of validating a section. An entry with a finding has the value undefined. */
interface CheckedSection {
  readonly name: SectionName
  readonly values: Record<string, unknown>
  readonly findings: readonly Finding[]
}

const sectionOf = (root: ObjectNode, name: SectionName): ObjectNode | undefined => {
  const node = root.members.get(name)?.value
  return node?.kind === 'object' ? node : undefined
}

/** Returns the tree without the sections that are validated entry by entry. */
const withoutSections = (root: ObjectNode, sections: readonly CheckedSection[]): ObjectNode => {
  const names = new Set<string>(sections.map(section => section.name))
  return { ...root, members: new Map([...root.members].filter(([key]) => !names.has(key))) }
}

/** Validates trees that share nodes, and caches the result of each entry. */
export class SectionChecker {
  readonly #entries = new WeakMap<Member, SchemaResult<unknown>>()

  /**
   * Validates a merged tree.
   *
   * @param root - root of the tree
   * @returns the configuration with defaults applied, or the findings
   */
  check (root: LocatedNode): SchemaResult<FleetConfig> {
    if (root.kind !== 'object') return checkSchema(configSchema, root)
    const sections = SECTION_NAMES.flatMap(name => this.#checkSection(name, sectionOf(root, name)))
    const otherKeys = checkSchema(configSchema, withoutSections(root, sections))
    const findings = [...otherKeys.findings, ...sections.flatMap(section => section.findings)]
    if (otherKeys.value === undefined || findings.length > 0) return { value: undefined, findings }
    const values = Object.fromEntries(sections.map(section => [section.name, section.values]))
    return { value: { ...otherKeys.value, ...values }, findings }
  }

  #checkSection (name: SectionName, section: ObjectNode | undefined): CheckedSection[] {
    if (section === undefined) return []
    // No prototype, so that looking up an id such as `constructor` yields undefined unless it is configured.
    const values = Object.create(null) as Record<string, unknown>
    const findings: Finding[] = []
    for (const [id, member] of section.members) {
      const checked = this.#checkEntry(name, id, member)
      values[id] = checked.value
      findings.push(...checked.findings)
    }
    return [{ name, values, findings }]
  }

  #checkEntry (name: SectionName, id: string, member: Member): SchemaResult<unknown> {
    const cached = this.#entries.get(member)
    if (cached !== undefined) return cached
    const path = [name, id]
    const entry = checkSchema<typeof sectionSchemas[SectionName]['entry']>(sectionSchemas[name].entry, member.value, path)
    const key = checkSchema(sectionSchemas[name].id, { kind: 'scalar', place: member.keyPlace, value: id }, path)
    const checked = { value: entry.value, findings: [...key.findings, ...entry.findings] }
    this.#entries.set(member, checked)
    return checked
  }
}
