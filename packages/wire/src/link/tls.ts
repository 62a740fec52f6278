/** Mutual TLS between the processes: both ends present a certificate issued by the fleet's own certificate authority. */
import { TLSSocket } from 'node:tls'
import type { Duplex } from 'node:stream'
import type { LinkTls } from '../session/sessionTypes.js'

/** Exporter label (RFC 5705) of the keying material that binds a handshake to its TLS connection. */
const BINDING_LABEL = 'EXPORTER-fuchsiaworks-link'

/** Size of the exported keying material in bytes. */
const BINDING_BYTES = 32

/**
 * TLS options of the listening end.
 *
 * @param tls - certificate, key and certificate authority
 * @returns options for Node's https server
 */
export const serverTls = (tls: LinkTls): object => ({ ...tls, requestCert: true, rejectUnauthorized: true })

/**
 * TLS options of the dialing end. Host names are not checked, because peers are dialed by IP addresses that their
 * certificates don't contain; the certificate authority and the link key authenticate them.
 *
 * @param tls - certificate, key and certificate authority
 * @returns options for Node's https client
 */
export const clientTls = (tls: LinkTls): object => ({ ...tls, rejectUnauthorized: true, checkServerIdentity: () => undefined })

/**
 * Computes the channel binding of a handshake: keying material exported from its TLS connection, so that a man in the
 * middle cannot relay proofs.
 *
 * @param socket - socket of a connection
 * @returns keying material that both ends share; empty without TLS
 */
export const tlsChannelBinding = (socket: Duplex | undefined): Uint8Array =>
  socket instanceof TLSSocket ? socket.exportKeyingMaterial(BINDING_BYTES, BINDING_LABEL, Buffer.alloc(0)) : new Uint8Array(0)
