/** Isolates, and later refuses for a while, requests that crash upstreams; crashes and refusals are broadcast to all routers. */
import { createLog, type Millis, type Service, type ServiceKey, serviceKey, type Timer, type UpstreamId } from '@fuchsiaworks/kernel'
import type { ConfigurationService, LinkHub, ProcessContext } from '@fuchsiaworks/fleet'
import { type QuarantineCommand, type QuarantineDb, quarantineDefinition, type QuarantineEvent, type RefusedRequest, type RequestFingerprint } from '@fuchsiaworks/policy'
import type { Crash, Message } from '@fuchsiaworks/wire'

const POLICY_TICK_MS = 1_000

/** Maximum number of suspects, and of refused requests, remembered per workspace. */
const MAX_ENTRIES_PER_WORKSPACE = 256

const log = createLog('quarantine')

/** Handling of a request. `alone`: no other request may run beside it. `refused`: refused for another `remaining` milliseconds. */
export type QuarantineStatus =
  { readonly kind: 'normal' } |
  { readonly kind: 'alone' } |
  { readonly kind: 'refused', readonly remaining: Millis }

/** Connects the quarantine policy to the clock and the links. */
export class QuarantineService implements Service {
  readonly #db: QuarantineDb
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, configuration: ConfigurationService) {
    this.#db = quarantineDefinition.createDb({
      get crashes () { return configuration.effective.quarantine.crashes },
      get suspectMs () { return configuration.effective.quarantine.ms },
      get refuseMs () { return configuration.effective.quarantine.ms },
      maxPerWorkspace: MAX_ENTRIES_PER_WORKSPACE
    })
    hub.dispatcher.on('quarantine', (_link, { workspace, fingerprint, remaining }) => {
      this.#applyEvent({ kind: 'quarantine-received', workspace, fingerprint, remaining, now: this.#now() })
    })
    hub.dispatcher.on('crash-report', (_link, { workspace, fingerprint, upstream, crash }) => {
      this.#reportCrash({ workspace, fingerprint }, upstream, crash, 'router')
    })
  }

  start (): void {
    this.#timer = this.context.clock.every(POLICY_TICK_MS, () => { this.#applyEvent({ kind: 'tick', now: this.#now() }) })
  }

  close (): void {
    this.#timer?.close()
  }

  /**
   * Looks up a request before it is queued.
   *
   * @param fingerprint - workspace and fingerprint of the request
   */
  statusOf (fingerprint: RequestFingerprint): QuarantineStatus {
    for (const command of quarantineDefinition.decide(this.#db, { kind: 'request-arrived', ...fingerprint, now: this.#now() })) {
      if (command.kind === 'refuse') return { kind: 'refused', remaining: command.remaining }
      if (command.kind === 'isolate') return { kind: 'alone' }
    }
    return { kind: 'normal' }
  }

  /** @returns the requests currently refused */
  refusedRequests (): RefusedRequest[] {
    return this.#db.refusedRequests(this.#now())
  }

  /**
   * Records that an upstream crashed while it was running a request.
   *
   * @param fingerprint - workspace and fingerprint of the request
   * @param upstream - upstream that crashed
   * @param crash - id of the crash, and whether the request ran alone
   * @returns true when the request is refused from now on
   */
  recordCrash (fingerprint: RequestFingerprint, upstream: UpstreamId, crash: Crash): boolean {
    this.#reportCrash(fingerprint, upstream, crash, 'agent')
    return this.#db.remaining(fingerprint, this.#now()) > 0
  }

  /**
   * Records that a request completed without a crash.
   *
   * @param fingerprint - workspace and fingerprint of the request
   */
  recordCompletion ({ workspace, fingerprint }: RequestFingerprint): void {
    this.#applyEvent({ kind: 'request-completed', workspace, fingerprint, now: this.#now() })
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #reportCrash ({ workspace, fingerprint }: RequestFingerprint, upstream: UpstreamId, { id, alone }: Crash, from: 'agent' | 'router'): void {
    this.#applyEvent({ kind: 'crash-reported', workspace, fingerprint, upstream, crash: id, alone, from, now: this.#now() })
  }

  #applyEvent (event: QuarantineEvent): void {
    for (const command of quarantineDefinition.decide(this.#db, event)) this.#runCommand(command)
  }

  #runCommand (command: QuarantineCommand): void {
    switch (command.kind) {
      case 'broadcast-crash': {
        const { workspace, fingerprint, upstream, crash, alone } = command
        return this.#broadcast({ kind: 'crash-report', workspace, fingerprint, upstream, crash: { id: crash, alone } })
      }
      case 'broadcast-quarantine': {
        const { workspace, fingerprint, remaining } = command
        log.warn('request fingerprint quarantined because it crashes upstreams', { workspace, fingerprint, remainingMs: Math.round(remaining) })
        this.context.timeLine.record({ kind: 'fingerprint-refused', detail: `${workspace} ${fingerprint}` })
        return this.#broadcast({ kind: 'quarantine', workspace, fingerprint, remaining })
      }
      // Decisions on an arriving request; statusOf evaluates them.
      case 'admit':
      case 'isolate':
      case 'refuse':
    }
  }

  #broadcast (message: Message): void {
    for (const link of this.hub.withRole('router')) link.send(message)
  }
}

export const quarantineKey: ServiceKey<QuarantineService> = serviceKey('quarantine')
