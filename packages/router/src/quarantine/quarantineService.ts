/** Keeps apart, and refuses for a while, requests whose running ends upstreams; told to all routers. */
import { createLog, type Millis, type Service, type ServiceKey, serviceKey, type Timer, type UpstreamId } from '@fuchsiaworks/kernel'
import type { ConfigurationService, LinkHub, ProcessContext } from '@fuchsiaworks/fleet'
import { type QuarantineCommand, type QuarantineDb, quarantineDefinition, type QuarantineEvent, type RefusedRequest, type RequestFingerprint } from '@fuchsiaworks/policy'
import type { Crash, Message } from '@fuchsiaworks/wire'

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 1_000

/** Suspects, and refused requests, that are remembered for one workspace. */
const MAX_PER_WORKSPACE = 256

const log = createLog('quarantine')

/** How a request is to be treated. */
export type Treatment =
  { readonly kind: 'normal' } |
  { readonly kind: 'alone' } |
  { readonly kind: 'refused', readonly remaining: Millis }

/** Joins the quarantine policy to time and links. */
export class QuarantineService implements Service {
  readonly #db: QuarantineDb
  #timer: Timer | undefined

  constructor (readonly context: ProcessContext, readonly hub: LinkHub, configuration: ConfigurationService) {
    this.#db = quarantineDefinition.createDb({
      get crashes () { return configuration.effective.quarantine.crashes },
      get suspectMs () { return configuration.effective.quarantine.ms },
      get refuseMs () { return configuration.effective.quarantine.ms },
      maxPerWorkspace: MAX_PER_WORKSPACE
    })
    hub.dispatcher.on('quarantine', (_link, { workspace, fingerprint, remaining }) => {
      this.#decide({ kind: 'quarantine-received', workspace, fingerprint, remaining, now: this.#now() })
    })
    hub.dispatcher.on('crash-report', (_link, { workspace, fingerprint, upstream, crash }) => {
      this.#report({ workspace, fingerprint }, upstream, crash, 'router')
    })
  }

  start (): void {
    this.#timer = this.context.clock.every(TICK_MS, () => { this.#decide({ kind: 'tick', now: this.#now() }) })
  }

  close (): void {
    this.#timer?.close()
  }

  /**
   * Looks a request up before it is queued.
   *
   * @param print - the request
   * @returns how it is to be treated
   */
  treatmentOf (print: RequestFingerprint): Treatment {
    for (const command of quarantineDefinition.decide(this.#db, { kind: 'request-arrived', ...print, now: this.#now() })) {
      if (command.kind === 'refuse') return { kind: 'refused', remaining: command.remaining }
      if (command.kind === 'isolate') return { kind: 'alone' }
    }
    return { kind: 'normal' }
  }

  /** @returns the requests that are refused now */
  refused (): RefusedRequest[] {
    return this.#db.refusedRequests(this.#now())
  }

  /**
   * Notes that an upstream ended while it ran a request.
   *
   * @param print - the request
   * @param upstream - where it ran
   * @param crash - the end of the upstream
   * @returns true when the request is refused from now on
   */
  crashed (print: RequestFingerprint, upstream: UpstreamId, crash: Crash): boolean {
    this.#report(print, upstream, crash, 'agent')
    return this.#db.remaining(print, this.#now()) > 0
  }

  /**
   * Notes that a request ran to its end.
   *
   * @param print - the request
   */
  completed ({ workspace, fingerprint }: RequestFingerprint): void {
    this.#decide({ kind: 'request-completed', workspace, fingerprint, now: this.#now() })
  }

  #now (): Millis {
    return this.context.clock.now()
  }

  #report ({ workspace, fingerprint }: RequestFingerprint, upstream: UpstreamId, { id, alone }: Crash, from: 'agent' | 'router'): void {
    this.#decide({ kind: 'crash-reported', workspace, fingerprint, upstream, crash: id, alone, from, now: this.#now() })
  }

  #decide (event: QuarantineEvent): void {
    for (const command of quarantineDefinition.decide(this.#db, event)) this.#run(command)
  }

  #run (command: QuarantineCommand): void {
    switch (command.kind) {
      case 'broadcast-crash': {
        const { workspace, fingerprint, upstream, crash, alone } = command
        return this.#tell({ kind: 'crash-report', workspace, fingerprint, upstream, crash: { id: crash, alone } })
      }
      case 'broadcast-quarantine': {
        const { workspace, fingerprint, remaining } = command
        log.warn('a request is refused because it ends upstreams', { workspace, fingerprint, milliseconds: Math.round(remaining) })
        this.context.timeLine.record({ kind: 'fingerprint-refused', detail: `${workspace} ${fingerprint}` })
        return this.#tell({ kind: 'quarantine', workspace, fingerprint, remaining })
      }
      case 'admit':
      case 'isolate':
      case 'refuse':
    }
  }

  #tell (message: Message): void {
    for (const link of this.hub.withRole('router')) link.send(message)
  }
}

/** Key of the quarantine. */
export const quarantineKey: ServiceKey<QuarantineService> = serviceKey('quarantine')
