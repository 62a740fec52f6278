/**
 * Distinguishes crash-causing requests from unstable upstreams. A request that was running when its upstream crashed becomes
 * a suspect: it runs alone from then on, and is refused when its upstream crashes again.
 */
import { assertNever } from '@fuchsiaworks/kernel'
import type { QuarantineDb } from './quarantineDb.js'
import type { QuarantineCommand, QuarantineEvent, RequestFingerprint } from './quarantineTypes.js'

const fingerprintOf = (event: RequestFingerprint): RequestFingerprint => ({ workspace: event.workspace, fingerprint: event.fingerprint })

const onArrived = (db: QuarantineDb, event: Extract<QuarantineEvent, { kind: 'request-arrived' }>): QuarantineCommand => {
  const remaining = db.remaining(event, event.now)
  if (remaining > 0) return { kind: 'refuse', remaining }
  return db.suspicion(event, event.now) === undefined ? { kind: 'admit' } : { kind: 'isolate' }
}

const onCrash = (db: QuarantineDb, event: Extract<QuarantineEvent, { kind: 'crash-reported' }>): QuarantineCommand[] => {
  const { crash, alone, upstream, now } = event
  const request = fingerprintOf(event)
  if (db.suspicion(request, now)?.crashes.has(crash) === true) return []
  const suspicion = db.addCrash(request, crash, alone, now)
  const commands: QuarantineCommand[] = []
  if (event.from === 'agent') commands.push({ kind: 'broadcast-crash', ...request, upstream, crash, alone })
  if (!suspicion.alone || suspicion.crashes.size < db.config.crashes) return commands
  db.refuse(request, db.config.refuseMs, now)
  commands.push({ kind: 'broadcast-quarantine', ...request, remaining: db.config.refuseMs })
  return commands
}

const onQuarantineReceived = (db: QuarantineDb, event: Extract<QuarantineEvent, { kind: 'quarantine-received' }>): QuarantineCommand[] => {
  const request = fingerprintOf(event)
  const isNew = db.refuse(request, event.remaining, event.now)
  if (!isNew) return []
  return [{ kind: 'broadcast-quarantine', ...request, remaining: db.remaining(request, event.now) }]
}

/**
 * Applies one event and returns the resulting commands.
 *
 * @param db - suspects and refused requests; changed in place
 * @param event - what happened
 * @returns the commands; exactly one of admit, isolate and refuse for an arrival
 */
export const decideQuarantine = (db: QuarantineDb, event: QuarantineEvent): QuarantineCommand[] => {
  switch (event.kind) {
    case 'request-arrived':
      return [onArrived(db, event)]
    case 'crash-reported':
      return onCrash(db, event)
    case 'request-completed':
      db.clear(event)
      return []
    case 'quarantine-received':
      return onQuarantineReceived(db, event)
    case 'tick':
      db.expire(event.now)
      return []
    default:
      return assertNever(event)
  }
}
