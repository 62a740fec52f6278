/** Base class of the errors thrown by the packages, and errors of the service registry. */

/** An error with a stable code; base class of the errors of all packages. */
export class FuchsiaError extends Error {
  /**
   * @param code - stable name of the error, in kebab case
   * @param message - human-readable description
   * @param options - the cause, if any
   */
  constructor (readonly code: string, message: string, options?: ErrorOptions) {
    super(message, options)
    this.name = new.target.name
  }
}

/** Thrown on dependency on a service name that is not registered, and on lookup of a service that is not registered or not yet created. */
export class UnknownServiceError extends FuchsiaError {
  constructor (name: string) {
    super('unknown-service', `service "${name}" is not registered or not yet created`)
  }
}

/** Thrown when a service name is registered twice. */
export class DuplicateServiceError extends FuchsiaError {
  constructor (name: string) {
    super('duplicate-service', `service "${name}" is already registered`)
  }
}

/**
 * Converts any thrown value to an `Error`.
 *
 * @param thrown - value received by a catch clause
 * @returns the value itself if it is an `Error`, otherwise an error with its string form as message
 */
export const toError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown))
