/** Service registry: services look each other up by name, start in dependency order and close in reverse order. */
import { DuplicateServiceError, UnknownServiceError } from '../errors/errors.js'

/** Lifecycle hooks of a service; both are optional. */
export interface Service {
  /** Starts the service. By then all services have been created and its dependencies have been started. */
  start?: () => Promise<void> | void
  /** Stops the service and releases its resources. Called at most once. */
  close?: () => Promise<void> | void
}

/** Registration of a service: its name, its dependencies and its factory. */
export interface ServiceDefinition {
  /** Name under which the service is looked up. */
  readonly id: string
  /** Names of services that are created and started before this one. */
  readonly dependencies: readonly string[]
  /** Factory of the service; its dependencies can be looked up in the kernel. */
  readonly create: (kernel: Kernel) => object
}

/** Name of a service together with its type. */
export interface ServiceKey<T> {
  readonly id: string
  /** Phantom field that carries the type; never set. */
  readonly type?: T
}

/**
 * Creates the key under which a service of type T is looked up.
 *
 * @param id - name of the service
 */
export const serviceKey = <T>(id: string): ServiceKey<T> => ({ id })

/** Registry of the services of one process. */
export class Kernel {
  readonly #definitions = new Map<string, ServiceDefinition>()
  readonly #services = new Map<string, Service>()
  readonly #startedIds: string[] = []

  /**
   * Registers a service; it is created by {@link start}.
   *
   * @param definition - its name, dependencies and factory
   * @throws DuplicateServiceError when the name is already registered
   */
  register (definition: ServiceDefinition): void {
    if (this.#definitions.has(definition.id)) throw new DuplicateServiceError(definition.id)
    this.#definitions.set(definition.id, definition)
  }

  /**
   * Looks up a service that has been created.
   *
   * @param key - key of the service
   * @throws UnknownServiceError when no such service has been created
   */
  get<T> (key: ServiceKey<T>): T {
    const service = this.#services.get(key.id)
    if (service === undefined) throw new UnknownServiceError(key.id)
    return service as T
  }

  /**
   * Creates all services in dependency order, then starts them in the same order. All are created before the first is started, so
   * that no service misses an event emitted while another one starts.
   */
  async start (): Promise<void> {
    for (const id of this.#definitions.keys()) this.#create(id)
    for (const [id, service] of this.#services) {
      this.#startedIds.push(id)
      await service.start?.()
    }
  }

  /** Closes the started services, also one whose start failed, in reverse order. When one fails to close, the others are still closed. */
  async close (): Promise<void> {
    const failures: unknown[] = []
    for (const id of this.#startedIds.splice(0).reverse()) {
      try {
        await this.#services.get(id)?.close?.()
      } catch (err) {
        failures.push(err)
      }
    }
    if (failures.length > 0) throw new AggregateError(failures, 'one or more services failed to close')
  }

  #create (id: string): void {
    if (this.#services.has(id)) return
    const definition = this.#definitions.get(id)
    if (definition === undefined) throw new UnknownServiceError(id)
    for (const dependency of definition.dependencies) this.#create(dependency)
    this.#services.set(id, definition.create(this))
  }
}
