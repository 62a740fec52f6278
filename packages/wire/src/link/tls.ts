/** TLS between the processes: both ends show a certificate of the fleet's own authority. */
import { TLSSocket } from 'node:tls'
import type { Duplex } from 'node:stream'
import type { LinkTls } from '../session/sessionTypes.js'

/** Label of the key material that ties a handshake to its TLS connection. */
const BINDING_LABEL = 'EXPORTER-fuchsiaworks-link'

/** Bytes of that key material. */
const BINDING_BYTES = 32

/**
 * Options of the listening end.
 *
 * @param tls - certificate, key and authority
 * @returns options of Node's https server
 */
export const serverTls = (tls: LinkTls): object => ({ ...tls, requestCert: true, rejectUnauthorized: true })

/**
 * Options of the dialing end. Peers are dialed by IP numbers that their certificates don't name; the authority and the
 * link key say who they are.
 *
 * @param tls - certificate, key and authority
 * @returns options of Node's https client
 */
export const clientTls = (tls: LinkTls): object => ({ ...tls, rejectUnauthorized: true, checkServerIdentity: () => undefined })

/**
 * Reads what ties a handshake to its TLS connection, so that nobody in the middle can pass proofs on.
 *
 * @param socket - socket of a connection
 * @returns key material that both ends share, or nothing without TLS
 */
export const tlsBinding = (socket: Duplex | undefined): Uint8Array =>
  socket instanceof TLSSocket ? socket.exportKeyingMaterial(BINDING_BYTES, BINDING_LABEL, Buffer.alloc(0)) : new Uint8Array(0)
