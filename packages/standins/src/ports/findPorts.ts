/** Finds free loopback ports for processes whose settings name each other's ports before they start. */
import { findStablePort } from './findStablePort.js'

/**
 * Finds ports that are free, and that no outgoing connection and no other process that calls this takes.
 *
 * @param count - how many
 * @returns distinct ports
 */
export const findPorts = async (count: number): Promise<number[]> => {
  const ports: number[] = []
  while (ports.length < count) ports.push(await findStablePort())
  return ports
}
