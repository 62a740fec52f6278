/** Discrete-time simulation of a small fleet, in steps of one millisecond: policy databases, delayed messages, load and scheduled faults. */
import { asId, type HostId, type RequestId, type ServiceId, type UpstreamId, type WorkspaceId, type ZoneId } from '@fuchsiaworks/kernel'
import { decideAdmission } from '../admission/admission.js'
import type { AdmissionCommand, AdmissionEvent } from '../admission/admissionTypes.js'
import { backlogForUpstream, serviceBacklog } from '../admission/backlogView.js'
import { selectBacklogRecipients } from '../admission/backlogRecipients.js'
import { decideDispatch } from '../dispatch/dispatch.js'
import type { DispatchEvent } from '../dispatch/dispatchTypes.js'
import { decideExchange } from '../exchange/exchange.js'
import { estimateUpdateBytes } from '../exchange/counterUpdate.js'
import type { Counters, ExchangeEvent } from '../exchange/exchangeTypes.js'
import { decideFairness } from '../fairness/fairness.js'
import { ModelLinks } from './modelLinks.js'
import { ModelAgent, type ModelProcess, type ModelRequest, ModelRouter } from './modelProcess.js'
import { ModelRecord } from './modelRecord.js'
import { ModelSessions } from './modelSessions.js'
import type { ModelLoad, ModelOptions, ModelResult } from './modelTypes.js'

const SAMPLE_MS = 100
const PROGRESS_MS = 50
const TICK_MS = 50
const ZONE = asId<ZoneId>('zone')

/** @returns the id of the service with an index */
export const serviceOf = (index: number): ServiceId => asId<ServiceId>(`${index}`)

/** Simulation of one fleet. */
export class Model {
  readonly #links: ModelLinks
  readonly routers = new Map<string, ModelRouter>()
  readonly agents = new Map<string, ModelAgent>()
  readonly #requests = new Map<RequestId, ModelRequest>()
  readonly #record = new ModelRecord()
  readonly #sessions: ModelSessions
  #nextRequest = 0

  constructor (readonly options: ModelOptions) {
    this.#links = new ModelLinks(options.seed, options.delay, options.faults)
    this.#sessions = new ModelSessions(this.#links, name => this.#process(name), { opened: this.#onSessionOpened, ended: this.#onSessionLost })
    for (let i = 0; i < options.routers; i++) this.#startRouter(`r${i}`, 0)
    options.agents.forEach((service, i) => { this.#startAgent(`a${i}`, 0, service) })
  }

  get now (): number { return this.#links.now }

  /** Runs the model for its duration. */
  run (): ModelResult {
    while (this.now < this.options.duration) this.#step()
    return this.#record.result(this.options.duration)
  }

  /** Continues for `span` milliseconds, so that counters converge, and returns the amounts served as known to each process, by workspace and service. */
  settle (span: number): Array<Map<string, number>> {
    const end = this.now + span
    while (this.now < end) this.#step()
    return this.#processes().map(({ fairness }) => new Map([...this.served.keys()].map(key => {
      const [workspace = '', service = ''] = key.split('/')
      return [key, fairness.account(asId<ServiceId>(service), asId<WorkspaceId>(workspace)).served]
    })))
  }

  #processes (): ModelProcess[] {
    return [...this.routers.values(), ...this.agents.values()]
  }

  #step (): void {
    this.#links.step()
    this.#applyFaults()
    this.#sessions.connect(this.routers.values(), this.#processes(), this.now)
    this.#runRequests()
    if (this.now % TICK_MS === 0) this.#tick()
    this.#generateLoad()
    for (const router of this.routers.values()) this.#sendDueBacklog(router)
    this.#record.countSlots(this.routers.values(), this.agents.values(), this.options.slots, this.#links)
    if (this.now % SAMPLE_MS === 0) this.#record.sample(this.routers.values(), this.now)
  }

  #startRouter (name: string, generation: number): void {
    this.routers.set(name, new ModelRouter(name, generation, this.#links.randomInt(0, 1e9), this.now, this.options, this.#oldestWaitingSince))
  }

  #startAgent (name: string, generation: number, service: number): void {
    const agent = new ModelAgent(name, generation, this.#links.randomInt(0, 1e9), this.now, this.options, this.#oldestWaitingSince)
    agent.service = serviceOf(service)
    agent.dispatch.limit = this.options.slots
    const firstRouter = Number(name.slice(1))
    for (let i = 0; i < this.options.linksPerAgent; i++) agent.routers.add(`r${(firstRouter + i) % this.options.routers}`)
    this.agents.set(name, agent)
  }

  readonly #oldestWaitingSince = (service: ServiceId, workspace: WorkspaceId): number => {
    const waits = [...this.routers.values()].flatMap(({ admission }) => serviceBacklog(admission, service, this.now))
    return this.now - Math.max(0, ...waits.filter(entry => entry.workspace === workspace).map(entry => entry.oldestWait))
  }

  #applyFaults (): void {
    for (const fault of this.options.faults) {
      if (fault.kind !== 'restart' || fault.at !== this.now) continue
      this.#restart(fault.process)
    }
  }

  #restart (name: string): void {
    const router = this.routers.get(name)
    const agent = this.agents.get(name)
    this.#sessions.end(name)
    if (router !== undefined) this.#startRouter(name, router.generation + 1)
    if (agent !== undefined) this.#startAgent(name, agent.generation + 1, Number(agent.service))
  }

  #process (name: string): ModelProcess | undefined {
    return this.routers.get(name) ?? this.agents.get(name)
  }

  readonly #onSessionLost = (process: ModelProcess, peer: string): void => {
    this.#exchange(process, { kind: 'peer-gone', link: peer, now: this.now })
    if (process instanceof ModelAgent) this.#dispatch(process, { kind: 'router-gone', router: peer, now: this.now })
    else if (process instanceof ModelRouter) process.backlogUpdates.delete(peer)
  }

  readonly #onSessionOpened = (router: ModelRouter, other: ModelProcess): void => {
    const isAgent = other instanceof ModelAgent
    const services = other instanceof ModelAgent && this.options.scope === 'service' ? { services: new Set([other.service]) } : {}
    if (isAgent) router.backlogUpdates.set(other.name, { at: -1e9, outOfDate: true, free: this.options.slots })
    this.#exchange(router, { kind: 'peer-joined', link: other.name, relation: isAgent ? 'leaf' : 'router', incarnation: other.fairness.incarnation, ...services, now: this.now })
    this.#exchange(other, { kind: 'peer-joined', link: router.name, relation: isAgent ? 'hub' : 'router', incarnation: router.fairness.incarnation, now: this.now })
  }

  #send (from: ModelProcess, to: string, receive: (to: ModelProcess) => void): void {
    this.#sessions.send(from, to, receive)
  }

  #exchange (process: ModelProcess, event: ExchangeEvent): void {
    for (const command of decideExchange(process.exchange, process.fairness, event)) {
      if (command.kind === 'send') this.#sendCounters(process, command.link, this.#countersForOrder(command.counters))
      if (command.kind === 'dial' && process instanceof ModelAgent) process.dialled.add(command.router)
      if (command.kind === 'release' && process instanceof ModelAgent) process.dialled.delete(command.router)
    }
  }

  /** Removes the counters of received service in the baseline orders, which compare no service across the fleet; they exchange only the backlog. */
  #countersForOrder (counters: Counters): Counters {
    return this.options.order === 'fleet-fair' ? counters : { entries: [], lifts: [], backlogged: counters.backlogged }
  }

  #sendCounters (process: ModelProcess, link: string, counters: Counters): void {
    this.#record.countBytes(process.name, estimateUpdateBytes(counters))
    const receive = (to: ModelProcess): void => { this.#exchange(to, { kind: 'counters-received', link: process.name, counters, now: this.now }) }
    this.#send(process, link, receive)
    if (!this.options.duplicateCounters || this.#links.randomInt(0, 9) > 0) return
    const lateAt = this.now + this.#links.randomInt(0, 3000)
    this.#links.schedule(lateAt, () => { this.#send(process, link, receive) })
  }

  #tick (): void {
    for (const process of this.#processes()) {
      if (this.#links.isPaused(process.name)) continue
      this.#exchange(process, { kind: 'tick', now: this.now })
      if (process instanceof ModelAgent) this.#tickAgent(process)
      if (process instanceof ModelRouter) this.#admission(process, { kind: 'tick', now: this.now })
    }
  }

  #tickAgent (agent: ModelAgent): void {
    this.#dispatch(agent, { kind: 'tick', now: this.now })
    const linked = new Set([...this.routers.keys()].filter(name => this.#sessions.isOpen(name, agent.name)).map(name => asId<HostId>(name)))
    const upstreams = this.options.agents.filter(service => serviceOf(service) === agent.service).length
    this.#exchange(agent, { kind: 'slots', service: agent.service, free: agent.dispatch.free, upstreams, linked, now: this.now })
  }

  #dispatch (agent: ModelAgent, event: DispatchEvent): void {
    const free = agent.dispatch.free
    for (const { router, service, workspace, pull } of decideDispatch(agent.dispatch, agent.fairness, event)) {
      this.#record.pulls += 1
      const from = { agent: agent.name, upstream: asId<UpstreamId>(agent.name), zone: ZONE }
      this.#send(agent, router, to => { if (to instanceof ModelRouter) this.#admission(to, { kind: 'pull', pull, from, service, workspace, now: this.now }) })
    }
    if (agent.dispatch.free !== free) this.#sendFreeSlots(agent)
  }

  #sendFreeSlots (agent: ModelAgent): void {
    const free = this.options.slots - agent.dispatch.running
    for (const name of this.routers.keys()) {
      this.#send(agent, name, to => {
        const update = to instanceof ModelRouter ? to.backlogUpdates.get(agent.name) : undefined
        if (update !== undefined) update.free = free
      })
    }
  }

  #admission (router: ModelRouter, event: AdmissionEvent): void {
    for (const command of decideAdmission(router.admission, event)) this.#execute(router, command)
  }

  #execute (router: ModelRouter, command: AdmissionCommand): void {
    switch (command.kind) {
      case 'refuse': {
        const request = this.#requests.get(command.request)
        if (request !== undefined) this.#record.countRefusal(request.workspace)
        return
      }
      case 'pull-empty':
        return this.#send(router, command.agent, to => { if (to instanceof ModelAgent) this.#dispatch(to, { kind: 'pull-empty', pull: command.pull, now: this.now }) })
      case 'hand-over': {
        const { request, workspace, arrivedAt } = command.waiting
        this.#record.countWait(workspace, this.now - arrivedAt)
        return this.#send(router, command.agent, to => { if (to instanceof ModelAgent) this.#start(router, to, command.pull, request, command.waiting.estimate, command.waiting) })
      }
      case 'backlog-changed':
        for (const [name, update] of router.backlogUpdates) {
          if (this.agents.get(name)?.service === command.service) update.outOfDate = true
        }
    }
  }

  #start (router: ModelRouter, agent: ModelAgent, pull: number, id: RequestId, estimate: number, waiting: (AdmissionEvent & { kind: 'requeue' })['waiting']): void {
    const request = this.#requests.get(id)
    if (request === undefined) return
    if (!agent.dispatch.isPending(pull)) {
      this.#send(agent, router.name, to => { if (to instanceof ModelRouter) this.#admission(to, { kind: 'requeue', waiting, now: this.now }) })
      return
    }
    this.#record.handovers += 1
    request.startedAt = this.now
    agent.running.set(id, request)
    decideFairness(agent.fairness, { kind: 'work-started', request: id, service: request.service, workspace: request.workspace, estimate, now: this.now })
    this.#dispatch(agent, { kind: 'pull-answered', pull, request: id, now: this.now })
  }

  /** Advances running requests. The upstream of a paused agent continues, but its cost corrections are delayed. */
  #runRequests (): void {
    for (const agent of this.agents.values()) {
      const paused = this.#links.isPaused(agent.name)
      for (const request of agent.running.values()) this.#advanceRequest(agent, request, paused)
    }
  }

  #advanceRequest (agent: ModelAgent, request: ModelRequest, paused: boolean): void {
    const { id, service, workspace, cost } = request
    if (request.ran < cost) {
      request.ran += 1
      this.#record.countService(workspace, service, 1 / this.#weight(workspace))
    }
    if (paused) return
    if (request.ran < cost) {
      const charged = request.ran % PROGRESS_MS === 0 && this.options.order !== 'first-come'
      if (charged) decideFairness(agent.fairness, { kind: 'work-progressed', request: id, cost: Math.max(request.ran, this.#estimate(request)), now: this.now })
      return
    }
    agent.running.delete(id)
    this.#requests.delete(id)
    decideFairness(agent.fairness, { kind: 'work-ended', request: id, cost, now: this.now })
    this.#dispatch(agent, { kind: 'request-ended', request: id, now: this.now })
  }

  #weight (workspace: string): number {
    return this.options.loads.find(load => load.workspace === workspace)?.weight ?? 1
  }

  /** Inaccurate cost estimate: between a third and three times the cost, fixed for each request. */
  #estimate ({ id, cost }: ModelRequest): number {
    const [factor] = [[0.33, 0.6, 1, 1.7, 3][Number(id) % 5] ?? 1]
    return Math.ceil(cost * factor)
  }

  #generateLoad (): void {
    for (const load of this.options.loads) {
      if (this.now <= load.from || this.now > load.until) continue
      for (const index of load.routers) this.#generateAtRouter(load, this.routers.get(`r${index}`))
    }
  }

  #generateAtRouter (load: ModelLoad, router: ModelRouter | undefined): void {
    if (router === undefined || this.#links.isPaused(router.name)) return
    for (const index of load.services) {
      const workspace = asId<WorkspaceId>(load.workspace)
      if (load.arrivalInterval !== undefined) {
        if (this.now % load.arrivalInterval === 0) this.#addRequest(router, workspace, serviceOf(index), this.#links.randomInt(...load.cost))
        continue
      }
      const queue = router.admission.queue(serviceOf(index), workspace)
      for (let missingRequests = load.waiting - queue.size; missingRequests > 0; missingRequests--) this.#addRequest(router, workspace, serviceOf(index), this.#links.randomInt(...load.cost))
    }
  }

  #addRequest (router: ModelRouter, workspace: WorkspaceId, service: ServiceId, cost: number): void {
    const id = asId<RequestId>(`${this.#nextRequest++}`)
    const request = { id, workspace, service, cost, startedAt: 0, ran: 0 }
    this.#requests.set(id, request)
    this.#admission(router, { kind: 'request-arrived', request: id, service, workspace, patience: this.options.patience, estimate: this.#estimate(request), idempotent: true, now: this.now })
  }

  #sendDueBacklog (router: ModelRouter): void {
    if (this.#links.isPaused(router.name)) return
    for (const service of router.admission.services()) {
      if (this.now % TICK_MS === 0) this.#exchange(router, { kind: 'own-backlog', service, entries: serviceBacklog(router.admission, service, this.now), now: this.now })
      const waiting = [...router.admission.queuesOf(service)].reduce((sum, { size }) => sum + size, 0)
      const recipients = [...router.backlogUpdates].filter(([name]) => this.agents.get(name)?.service === service)
        .map(([link, { at, outOfDate, free }]) => ({ link, free, lastSentAt: at, outOfDate }))
      const links = this.options.sendBacklogToAll
        ? recipients.filter(({ outOfDate }) => outOfDate).map(({ link }) => link)
        : selectBacklogRecipients(recipients, waiting, router.seed, this.now)
      for (const link of links) this.#sendBacklog(router, link, service)
    }
  }

  #sendBacklog (router: ModelRouter, link: string, service: ServiceId): void {
    const { free } = router.backlogUpdates.get(link) ?? { free: 0 }
    router.backlogUpdates.set(link, { at: this.now, outOfDate: false, free })
    const entries = backlogForUpstream(router.admission, service, { upstream: asId<UpstreamId>(link), zone: ZONE }, this.now)
    this.#send(router, link, to => { if (to instanceof ModelAgent) this.#dispatch(to, { kind: 'router-backlog', router: router.name, service, entries, now: this.now }) })
  }

  /** Cost units actually served, divided by weight, by workspace and service. */
  get served (): ReadonlyMap<string, number> {
    return this.#record.served
  }
}
