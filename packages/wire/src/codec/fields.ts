/** Schema of message fields: how each type is encoded as a plain value, and validated when it is decoded. */

/** A validation error with the path of the invalid value, such as `entries.3.waiting`. */
export interface FieldFinding {
  path: string
  readonly message: string
}

/** Encoder and validating decoder of one type. */
export interface Field<T> {
  /** When set, a missing value leaves the property out of the decoded object. */
  readonly optional?: true
  readonly write: (value: T) => unknown
  /**
   * Validates and decodes a received value. An invalid value is added to the findings; the result must then be discarded.
   *
   * @param value - the decoded plain value
   * @param findings - receives the validation errors
   * @returns the value as the field's type
   */
  readonly read: (value: unknown, findings: FieldFinding[]) => T
}

/** A field for each property of T, in wire order. For compatibility, new fields are appended and are optional. */
export type Fields<T> = { readonly [K in keyof T]-?: Field<T[K]> }

const passThrough = (value: unknown): unknown => value

const validated = <T>(expected: string, accepts: (value: unknown) => boolean): Field<T> => ({
  write: passThrough,
  read: (value, findings) => {
    if (!accepts(value)) findings.push({ path: '', message: `is not ${expected}` })
    return value as T
  }
})

/** Prefixes the paths of the findings from index `start` on with the name of the enclosing property. */
const prefixPaths = (findings: FieldFinding[], start: number, name: string): void => {
  for (const finding of findings.slice(start)) finding.path = finding.path === '' ? name : `${name}.${finding.path}`
}

/** Field for strings and ids. */
export const string = <T extends string>(): Field<T> => validated('a string', value => typeof value === 'string')

/** Field for finite numbers. */
export const finiteNumber: Field<number> = validated('a finite number', Number.isFinite)

/** Field for non-negative safe integers. */
export const nonNegativeInteger: Field<number> = validated('a non-negative integer', value => Number.isSafeInteger(value) && Number(value) >= 0)

/** Field for booleans. */
export const boolean: Field<boolean> = validated('a boolean', value => typeof value === 'boolean')

/** Field for byte strings. */
export const bytes: Field<Uint8Array> = validated('bytes', value => value instanceof Uint8Array)

/**
 * Field for a string enumeration.
 *
 * @param values - the allowed strings
 */
export const oneOf = <T extends string>(...values: readonly T[]): Field<T> =>
  validated(`one of ${values.join(', ')}`, value => values.includes(value as T))

/**
 * Field for a value that may be undefined; encoded as null.
 *
 * @param field - field of a defined value
 */
export const nullable = <T>(field: Field<T>): Field<T | undefined> => ({
  write: value => value === undefined ? null : field.write(value),
  read: (value, findings) => value === null || value === undefined ? undefined : field.read(value, findings)
})

/**
 * Field for a property that may be absent.
 *
 * @param field - field of a present value
 */
export const optional = <T>(field: Field<T>): Field<T | undefined> => ({ ...nullable(field), optional: true })

/**
 * Field for arrays.
 *
 * @param field - field of the items
 */
export const array = <T>(field: Field<T>): Field<readonly T[]> => ({
  write: values => values.map(field.write),
  read: (value, findings) => {
    if (!Array.isArray(value)) return validated<T[]>('an array', Array.isArray).read(value, findings)
    return value.map((item, index) => {
      const start = findings.length
      const read = field.read(item, findings)
      if (findings.length > start) prefixPaths(findings, start, String(index))
      return read
    })
  }
})

/**
 * Field for two-item tuples.
 *
 * @param first - field of the first item
 * @param second - field of the second item
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
 * Encodes the properties of an object and appends them to an array.
 *
 * @param fields - the object's fields
 * @param value - the object
 * @param target - array of plain values to append to
 */
export const writeFields = <T>(fields: Fields<T>, value: T, target: unknown[]): void => {
  for (const name in fields) target.push(fields[name].write(value[name]))
}

/**
 * Decodes the properties of an object from an array. Items after the last known field come from a newer version and are
 * ignored.
 *
 * @param fields - the object's fields
 * @param values - array of plain values
 * @param start - index of the first property
 * @param target - object on which the decoded properties are set
 * @param findings - receives the validation errors
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
 * Field for objects, encoded as an array of their properties.
 *
 * @param fields - the object's fields
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
    else findings.push({ path: '', message: 'is not an array of fields' })
    return target as T
  }
})
