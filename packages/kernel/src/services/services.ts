/** The micro-kernel: services find each other by name, start in order and close in reverse. */
import { DuplicateServiceError, UnknownServiceError } from '../errors/errors.js'

/** The life of a part of a process. A service without either is only found by others. */
export interface Service {
  /** Begins the work of the service; all services are made, and those named in `needs` have started. */
  start?: () => Promise<void> | void
  /** Ends the work and frees what it holds. Called once. */
  close?: () => Promise<void> | void
}

/** What a package registers: a name, the names it needs, and how it is made. */
export interface ServiceDefinition {
  /** Name under which others find the service. */
  readonly id: string
  /** Names of services that are made and started first. */
  readonly dependencies: readonly string[]
  /** Makes the service; the services in `needs` can be looked up. */
  readonly create: (kernel: Kernel) => object
}

/** Typed key of a service. */
export interface ServiceKey<T> {
  readonly id: string
  /** Carries the type only; never set. */
  readonly type?: T
}

/**
 * Makes the key under which a service of type T is found.
 *
 * @param id - name of the service
 * @returns the key
 */
export const serviceKey = <T>(id: string): ServiceKey<T> => ({ id })

/** Registry of the services of one process. */
export class Kernel {
  readonly #definitions = new Map<string, ServiceDefinition>()
  readonly #services = new Map<string, Service>()
  readonly #started: string[] = []

  /**
   * Adds a service that is not made yet.
   *
   * @param definition - its name, needs and maker
   * @throws DuplicateServiceError when the name is taken
   */
  register (definition: ServiceDefinition): void {
    if (this.#definitions.has(definition.id)) throw new DuplicateServiceError(definition.id)
    this.#definitions.set(definition.id, definition)
  }

  /**
   * Finds a service that has been made.
   *
   * @param key - the key it was registered under
   * @returns the service
   * @throws UnknownServiceError when there is none
   */
  get<T> (key: ServiceKey<T>): T {
    const service = this.#services.get(key.id)
    if (service === undefined) throw new UnknownServiceError(key.id)
    return service as T
  }

  /**
   * Makes every service, each after those it needs, and then starts them in the same order. No service starts before all
   * are made, so that none misses an event of another's start.
   */
  async start (): Promise<void> {
    for (const id of this.#definitions.keys()) this.#make(id)
    for (const [id, service] of this.#services) {
      this.#started.push(id)
      await service.start?.()
    }
  }

  /** Closes the started services in reverse order. A failure to close one does not keep the rest open. */
  async close (): Promise<void> {
    const failures: unknown[] = []
    for (const id of this.#started.splice(0).reverse()) {
      try {
        await this.#services.get(id)?.close?.()
      } catch (err) {
        failures.push(err)
      }
    }
    if (failures.length > 0) throw new AggregateError(failures, 'some services failed to close')
  }

  #make (id: string): void {
    if (this.#services.has(id)) return
    const definition = this.#definitions.get(id)
    if (definition === undefined) throw new UnknownServiceError(id)
    for (const need of definition.dependencies) this.#make(need)
    this.#services.set(id, definition.create(this))
  }
}
