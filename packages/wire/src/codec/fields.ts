/** Kinds of fields in messages: how each is written as a plain value, and checked when it is read. */

/** One thing wrong with a value, and where: a path as `entries.3.waiting`. */
export interface FieldFinding {
  path: string
  readonly message: string
}

/** How values of one type cross the wire. */
export interface Field<T> {
  /** Set when a missing value leaves the property out. */
  readonly optional?: true
  readonly write: (value: T) => unknown
  /**
   * Checks a received value. On a wrong value it adds to the findings; the result is then of no use.
   *
   * @param value - the plain value
   * @param findings - collects what is wrong
   * @returns the value as the field's type
   */
  readonly read: (value: unknown, findings: FieldFinding[]) => T
}

/** A field for each property of T, in the order of the wire. New ones go to the end and are optional. */
export type Fields<T> = { readonly [K in keyof T]-?: Field<T[K]> }

const passThrough = (value: unknown): unknown => value

const validated = <T>(expected: string, accepts: (value: unknown) => boolean): Field<T> => ({
  write: passThrough,
  read: (value, findings) => {
    if (!accepts(value)) findings.push({ path: '', message: `is not ${expected}` })
    return value as T
  }
})

/** Puts a name before the paths of the findings that were added since `start`. */
const prefixPaths = (findings: FieldFinding[], start: number, name: string): void => {
  for (const finding of findings.slice(start)) finding.path = finding.path === '' ? name : `${name}.${finding.path}`
}

/** @returns a field for strings and ids */
export const string = <T extends string>(): Field<T> => validated('a text', value => typeof value === 'string')

/** Field for finite numbers. */
export const finiteNumber: Field<number> = validated('a finite number', Number.isFinite)

/** Field for whole numbers from 0 up. */
export const nonNegativeInteger: Field<number> = validated('a whole number', value => Number.isSafeInteger(value) && Number(value) >= 0)

/** Field for true and false. */
export const boolean: Field<boolean> = validated('true or false', value => typeof value === 'boolean')

/** Field for byte strings. */
export const bytes: Field<Uint8Array> = validated('bytes', value => value instanceof Uint8Array)

/**
 * @param values - the texts that are allowed
 * @returns a field for one of some texts
 */
export const oneOf = <T extends string>(...values: readonly T[]): Field<T> =>
  validated(`one of ${values.join(', ')}`, value => values.includes(value as T))

/**
 * @param field - field of the value
 * @returns a field for a value or undefined
 */
export const nullable = <T>(field: Field<T>): Field<T | undefined> => ({
  write: value => value === undefined ? null : field.write(value),
  read: (value, findings) => value === null || value === undefined ? undefined : field.read(value, findings)
})

/**
 * @param field - field of the value
 * @returns a field for a property that may be absent
 */
export const optional = <T>(field: Field<T>): Field<T | undefined> => ({ ...nullable(field), optional: true })

/**
 * @param field - field of the items
 * @returns a field for lists
 */
export const array = <T>(field: Field<T>): Field<readonly T[]> => ({
  write: values => values.map(field.write),
  read: (value, findings) => {
    if (!Array.isArray(value)) return validated<T[]>('a list', Array.isArray).read(value, findings)
    return value.map((item, index) => {
      const start = findings.length
      const read = field.read(item, findings)
      if (findings.length > start) prefixPaths(findings, start, String(index))
      return read
    })
  }
})

/**
 * @param first - field of the first item
 * @param second - field of the second item
 * @returns a field for pairs
 */
export const pair = <A, B>(first: Field<A>, second: Field<B>): Field<readonly [A, B]> => ({
  write: value => [first.write(value[0]), second.write(value[1])],
  read: (value, findings) => {
    const items: unknown[] = Array.isArray(value) ? value : []
    if (items.length !== 2) findings.push({ path: '', message: 'is not a pair' })
    return [first.read(items[0], findings), second.read(items[1], findings)]
  }
})

/**
 * Writes the properties of an object into an array, behind what it holds.
 *
 * @param fields - the object's fields
 * @param value - the object
 * @param target - array of plain values; changed in place
 */
export const writeFields = <T>(fields: Fields<T>, value: T, target: unknown[]): void => {
  for (const name in fields) target.push(fields[name].write(value[name]))
}

/**
 * Reads the properties of an object from an array. Items behind the last field come from a newer version and are skipped.
 *
 * @param fields - the object's fields
 * @param values - array of plain values
 * @param start - index of the first property
 * @param target - object that takes the properties
 * @param findings - collects what is wrong
 */
export const readFields = <T>(fields: Fields<T>, values: readonly unknown[], start: number, target: Partial<T>, findings: FieldFinding[]): void => {
  let at = start
  for (const name in fields) {
    const field = fields[name]
    const before = findings.length
    const value = field.read(values[at], findings)
    at += 1
    if (findings.length > before) prefixPaths(findings, before, name)
    if (value !== undefined || field.optional !== true) target[name] = value
  }
}

/**
 * @param fields - the object's fields
 * @returns a field for objects, written as an array of their properties
 */
export const record = <T>(fields: Fields<T>): Field<T> => ({
  write: value => {
    const target: unknown[] = []
    writeFields(fields, value, target)
    return target
  },
  read: (value, findings) => {
    const target: Partial<T> = {}
    if (Array.isArray(value)) readFields(fields, value, 0, target, findings)
    else findings.push({ path: '', message: 'is not a record' })
    return target as T
  }
})
