/** Base classes of the errors that the packages raise. */

/** An error with a stable code. Packages derive their own classes from it. */
export class FuchsiaError extends Error {
  /**
   * @param code - stable name of the error, in kebab case
   * @param message - one sentence for a person
   * @param options - the cause, where there is one
   */
  constructor (readonly code: string, message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = new.target.name
  }
}

/** A service was asked for by a name that nothing is registered under. */
export class UnknownServiceError extends FuchsiaError {
  constructor (name: string) {
    super('unknown-service', `no service is registered under the name "${name}"`)
  }
}

/** A service name was registered a second time. */
export class DuplicateServiceError extends FuchsiaError {
  constructor (name: string) {
    super('duplicate-service', `a service is already registered under the name "${name}"`)
  }
}

/**
 * Turns anything that was thrown into an error.
 *
 * @param thrown - what a catch clause received
 * @returns the error itself, or one that carries its text
 */
export const toError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown))
