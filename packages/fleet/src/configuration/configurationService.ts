/** Keeps the newest valid configuration of this process and relays it over the links. */
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

/** A configuration that is in force in this process. */
export interface ActiveConfig {
  readonly revision: number
  readonly config: FleetConfig
  readonly documents: ConfigDocuments
}

/** Milliseconds between two ticks of the policy. */
const TICK_MS = 200

/** Milliseconds without a link after which an agent watches the configuration service. */
const WATCH_AFTER_MS = 1_000

/** Longest random addition to that wait, in milliseconds. */
const WATCH_JITTER_MS = 3_000

/** Refused revisions that are remembered. */
const MAX_REFUSED = 64

/** Milliseconds after which documents are asked for again. */
const ASK_AGAIN_MS = 1_000

const log = createLog('configuration')

/** The shared configuration as this process has it. */
export class ConfigurationService implements Service {
  readonly #context: ProcessContext
  readonly #hub: LinkHub
  readonly #changes = new EventSource<ActiveConfig>()
  readonly #db
  #current: ActiveConfig | undefined
  #source: RevisionSource | undefined
  #findings: readonly Finding[] = []
  #refusedRevision: number | undefined
  #watch: ConfigurationWatch | undefined
  #failures = 0
  #timer: Timer | undefined
  /** Each configuration as it comes in force. */
  readonly changes = this.#changes.stream

  constructor (context: ProcessContext, hub: LinkHub) {
    this.#context = context
    this.#hub = hub
    this.#db = revisionDefinition.createDb({
      alwaysWatch: context.settings.role === 'router',
      watchAfter: WATCH_AFTER_MS,
      watchJitter: WATCH_JITTER_MS,
      maxRefused: MAX_REFUSED,
      requestTimeout: ASK_AGAIN_MS
    })
    hub.dispatcher.on('revision', (link, message) => { this.#onMessage(link, message) })
    hub.dispatcher.on('revision-ask', (link, { revision }) => { this.#decide({ kind: 'documents-requested', now: this.#now(), link: link.id, revision }) })
    onEvent(hub.opened, log, link => { this.#decide({ kind: 'link-up', now: this.#now(), link: link.id }) })
    onEvent(hub.closed, log, ({ link }) => {
      this.#decide({ kind: 'link-down', now: this.#now(), link: link.id, random: context.random() })
    })
  }

  /** The configuration in force; undefined until the first was accepted. */
  get current (): ActiveConfig | undefined {
    return this.#current
  }

  /** The configuration in force, or the defaults until the first was accepted. */
  get effective (): FleetConfig {
    return this.#current?.config ?? defaultFleetConfig
  }

  /** Where the configuration in force came from. */
  get source (): RevisionSource | undefined {
    return this.#source
  }

  /** The last revision that was refused and why. */
  get refused (): { readonly revision: number, readonly findings: readonly Finding[] } | undefined {
    return this.#refusedRevision === undefined ? undefined : { revision: this.#refusedRevision, findings: this.#findings }
  }

  /** How the watch of the configuration service does; undefined while this process does not watch. */
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
    if (failures > this.#failures) this.#decide({ kind: 'service-down', now: this.#now(), random: this.#context.random() })
    this.#failures = failures
    this.#decide({ kind: 'tick', now: this.#now(), random: this.#context.random() })
  }

  #onMessage (link: FleetLink, message: RevisionMessage): void {
    if (message.documents === undefined) {
      this.#decide({ kind: 'peer-revision', now: this.#now(), link: link.id, revision: message.revision })
      return
    }
    this.#takeText(message.documents, link)
  }

  #takeText (text: string, link: FleetLink): void {
    try {
      this.#take(parseDocuments({ name: `revision from ${link.peer.host}`, text }), 'peer', link.id)
    } catch (err) {
      log.warn('a peer sent no readable document set', { peer: link.peer.host, error: String(err) })
    }
  }

  #take (documents: ConfigDocuments, source: RevisionSource, link?: string): void {
    const { revision } = documents
    const candidate = revision > this.#db.accepted ? this.#read(documents) : undefined
    const result: ParseResult = candidate instanceof FindingsError ? { kind: 'findings', findings: candidate.findings } : { kind: 'accepted' }
    const commands = decide(this.#db, { kind: 'documents-received', now: this.#now(), source, revision, result, ...(link === undefined ? {} : { link }) })
    if (commands.some(command => command.kind === 'accept') && candidate !== undefined && !(candidate instanceof FindingsError)) {
      this.#current = candidate
      this.#source = source
    }
    for (const command of commands) this.#run(command)
  }

  #read (documents: ConfigDocuments): ActiveConfig | FindingsError {
    try {
      return { revision: documents.revision, documents, config: configForSite(documents, this.#context.settings.site) }
    } catch (err) {
      if (err instanceof FindingsError) return err
      throw err
    }
  }

  #decide (event: RevisionEvent): void {
    for (const command of decide(this.#db, event)) this.#run(command)
  }

  #run (command: RevisionCommand): void {
    switch (command.kind) {
      case 'accept': return this.#accept(command.revision)
      case 'refuse-with-findings': return this.#refuse(command.revision, command.findings)
      case 'request-documents': return this.#hub.find(command.link)?.send({ kind: 'revision-ask', revision: command.revision })
      case 'send-revision': return this.#tell(command.link, command.withDocuments)
      case 'watch': return this.#startWatch()
      case 'stop-watching': return this.#stopWatch()
    }
  }

  #accept (revision: number): void {
    const current = this.#current
    if (current === undefined || current.revision !== revision) return
    log.info('a configuration is in force', { revision, source: this.#source ?? '' })
    this.#context.timeLine.record({ kind: 'revision-accepted', revision, detail: this.#source ?? '' })
    this.#changes.emit(current)
  }

  #refuse (revision: number, findings: readonly Finding[]): void {
    this.#refusedRevision = revision
    this.#findings = findings
    const detail = findings.map(formatFinding).join('; ')
    log.warn('a configuration is refused', { revision, findings: detail })
    this.#context.timeLine.record({ kind: 'revision-refused', revision, detail })
  }

  #tell (linkId: string, withDocuments: boolean): void {
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
    this.#failures = 0
    onEvent(watch.news, log, documents => { this.#take(documents, 'service') })
    watch.raise(this.#db.floor)
    watch.start()
  }
}

const { decide } = revisionDefinition

/** Key of the configuration service. */
export const configurationKey: ServiceKey<ConfigurationService> = serviceKey('configuration')
