/** Keeps the newest valid configuration and relays it to the peers. */
import {
  createLog, EventSource, type Finding, FindingsError, formatFinding, onEvent, type Service, type ServiceKey, serviceKey, type Timer
} from '@fuchsiaworks/kernel'
import { ConfigurationWatch } from '@fuchsiaworks/platform'
import { type ParseResult, type RevisionCommand, type RevisionEvent, type RevisionSource, revisionDefinition } from '@fuchsiaworks/policy'
import { type ConfigDocuments, configForSite, defaultFleetConfig, encodeDocuments, type FleetConfig, parseDocuments } from '@fuchsiaworks/settings'
import type { RevisionMessage } from '@fuchsiaworks/wire'
import type { ProcessContext } from '../context/processContext.js'
import type { FleetLink } from '../links/fleetLink.js'
import type { LinkHub } from '../links/linkHub.js'

/** The configuration that this process applies, with the documents it was read from. */
export interface ActiveConfig {
  readonly revision: number
  readonly config: FleetConfig
  readonly documents: ConfigDocuments
}

/** Interval between two ticks of the policy. */
const TICK_MS = 200

/** Time without a link after which an agent watches the configuration service of the platform directly. */
const WATCH_DELAY_MS = 1_000

/** Maximum random addition to WATCH_DELAY_MS, so that agents do not all start to watch at once. */
const WATCH_JITTER_MS = 3_000

/** Maximum number of refused revisions to remember. */
const MAX_REFUSED_REVISIONS = 64

/** Time without documents from a peer after which they are requested from another one. */
const REQUEST_TIMEOUT_MS = 1_000

const log = createLog('configuration')

/** Provides the active configuration of the fleet to the services of this process. */
export class ConfigurationService implements Service {
  readonly #context: ProcessContext
  readonly #hub: LinkHub
  readonly #changes = new EventSource<ActiveConfig>()
  readonly #db
  #current: ActiveConfig | undefined
  #source: RevisionSource | undefined
  #refusalFindings: readonly Finding[] = []
  #refusedRevision: number | undefined
  #watch: ConfigurationWatch | undefined
  /** Failed reads of the current watch that the policy has been notified of. */
  #reportedFailures = 0
  #timer: Timer | undefined
  /** Each configuration when it becomes active. */
  readonly changes = this.#changes.stream

  constructor (context: ProcessContext, hub: LinkHub) {
    this.#context = context
    this.#hub = hub
    this.#db = revisionDefinition.createDb({
      alwaysWatch: context.settings.role === 'router',
      watchAfter: WATCH_DELAY_MS,
      watchJitter: WATCH_JITTER_MS,
      maxRefused: MAX_REFUSED_REVISIONS,
      requestTimeout: REQUEST_TIMEOUT_MS
    })
    hub.dispatcher.on('revision', (link, message) => { this.#onRevision(link, message) })
    hub.dispatcher.on('revision-ask', (link, { revision }) => { this.#decide({ kind: 'documents-requested', now: this.#now(), link: link.id, revision }) })
    onEvent(hub.opened, log, link => { this.#decide({ kind: 'link-up', now: this.#now(), link: link.id }) })
    onEvent(hub.closed, log, ({ link }) => {
      this.#decide({ kind: 'link-down', now: this.#now(), link: link.id, random: context.random() })
    })
  }

  /** The active configuration; undefined until the first one was accepted. */
  get current (): ActiveConfig | undefined {
    return this.#current
  }

  /** The active configuration, or the defaults until the first one was accepted. */
  get effective (): FleetConfig {
    return this.#current?.config ?? defaultFleetConfig
  }

  /** Source of the active configuration. */
  get source (): RevisionSource | undefined {
    return this.#source
  }

  /** The last refused revision and its findings. */
  get refused (): { readonly revision: number, readonly findings: readonly Finding[] } | undefined {
    return this.#refusedRevision === undefined ? undefined : { revision: this.#refusedRevision, findings: this.#refusalFindings }
  }

  /** Poll counters of the configuration service of the platform; undefined while this process does not watch it. */
  get watch (): { readonly reads: number, readonly failures: number, readonly lastFailure?: string } | undefined {
    if (this.#watch === undefined) return undefined
    const { reads, failures, lastFailure } = this.#watch.status
    return { reads, failures, ...(lastFailure === undefined ? {} : { lastFailure }) }
  }

  start (): void {
    this.#tick()
    this.#timer = this.#context.clock.every(TICK_MS, () => { this.#tick() })
  }

  async close (): Promise<void> {
    this.#timer?.close()
    this.#changes.close()
    await this.#watch?.close()
  }

  #now (): number {
    return this.#context.clock.now()
  }

  #tick (): void {
    const failures = this.#watch?.status.failures ?? 0
    if (failures > this.#reportedFailures) this.#decide({ kind: 'service-down', now: this.#now(), random: this.#context.random() })
    this.#reportedFailures = failures
    this.#decide({ kind: 'tick', now: this.#now(), random: this.#context.random() })
  }

  #onRevision (link: FleetLink, message: RevisionMessage): void {
    if (message.documents === undefined) {
      this.#decide({ kind: 'peer-revision', now: this.#now(), link: link.id, revision: message.revision })
      return
    }
    this.#receiveDocuments(message.documents, link)
  }

  #receiveDocuments (text: string, link: FleetLink): void {
    try {
      this.#applyDocuments(parseDocuments({ name: `revision from ${link.peer.host}`, text }), 'peer', link.id)
    } catch (err) {
      log.warn('peer sent a document set that cannot be parsed', { peer: link.peer.host, error: String(err) })
    }
  }

  #applyDocuments (documents: ConfigDocuments, source: RevisionSource, link?: string): void {
    const { revision } = documents
    const candidate = revision > this.#db.accepted ? this.#resolve(documents) : undefined
    const result: ParseResult = candidate instanceof FindingsError ? { kind: 'findings', findings: candidate.findings } : { kind: 'accepted' }
    const commands = decide(this.#db, { kind: 'documents-received', now: this.#now(), source, revision, result, ...(link === undefined ? {} : { link }) })
    if (commands.some(command => command.kind === 'accept') && candidate !== undefined && !(candidate instanceof FindingsError)) {
      this.#current = candidate
      this.#source = source
    }
    for (const command of commands) this.#runCommand(command)
  }

  #resolve (documents: ConfigDocuments): ActiveConfig | FindingsError {
    try {
      return { revision: documents.revision, documents, config: configForSite(documents, this.#context.settings.site) }
    } catch (err) {
      if (err instanceof FindingsError) return err
      throw err
    }
  }

  #decide (event: RevisionEvent): void {
    for (const command of decide(this.#db, event)) this.#runCommand(command)
  }

  #runCommand (command: RevisionCommand): void {
    switch (command.kind) {
      case 'accept': return this.#accept(command.revision)
      case 'refuse-with-findings': return this.#refuse(command.revision, command.findings)
      case 'request-documents': return this.#hub.find(command.link)?.send({ kind: 'revision-ask', revision: command.revision })
      case 'send-revision': return this.#sendRevision(command.link, command.withDocuments)
      case 'watch': return this.#startWatch()
      case 'stop-watching': return this.#stopWatch()
    }
  }

  #accept (revision: number): void {
    const current = this.#current
    if (current === undefined || current.revision !== revision) return
    log.info('configuration applied', { revision, source: this.#source ?? '' })
    this.#context.timeLine.record({ kind: 'revision-accepted', revision, detail: this.#source ?? '' })
    this.#changes.emit(current)
  }

  #refuse (revision: number, findings: readonly Finding[]): void {
    this.#refusedRevision = revision
    this.#refusalFindings = findings
    const detail = findings.map(formatFinding).join('; ')
    log.warn('configuration refused', { revision, findings: detail })
    this.#context.timeLine.record({ kind: 'revision-refused', revision, detail })
  }

  #sendRevision (linkId: string, withDocuments: boolean): void {
    const revision = this.#db.accepted
    const documents = withDocuments && this.#current !== undefined ? { documents: encodeDocuments(this.#current.documents) } : {}
    this.#hub.find(linkId)?.send({ kind: 'revision', revision, ...documents })
  }

  #stopWatch (): void {
    this.#watch?.close().catch(() => {})
    this.#watch = undefined
  }

  #startWatch (): void {
    if (this.#watch !== undefined) return
    const { clock, random, settings } = this.#context
    const watch = new ConfigurationWatch({ url: settings.platform.configuration, clock, random })
    this.#watch = watch
    this.#reportedFailures = 0
    onEvent(watch.updates, log, documents => { this.#applyDocuments(documents, 'service') })
    watch.advanceVersion(this.#db.floor)
    watch.start()
  }
}

const { decide } = revisionDefinition

/** Service key of the configuration service of this process. */
export const configurationKey: ServiceKey<ConfigurationService> = serviceKey('configuration')
