/** CPU time, I/O and memory of processes, read from /proc (Linux only). */
import { readFileSync } from 'node:fs'

/** Unit of CPU times in /proc/PID/stat (USER_HZ). */
const TICKS_PER_SECOND = 100

/** Unit of sizes in /proc/PID/statm. */
const PAGE_BYTES = 4096

/** Resource counters of a process at one point in time. */
export interface ProcessReading {
  readonly at: number
  /** CPU time since the start of the process, user and system. */
  readonly processorMs: number
  /** Bytes written by system calls since the start, including sockets. */
  readonly bytesWritten: number
  /** Bytes read by system calls since the start, including sockets. */
  readonly bytesRead: number
  readonly residentBytes: number
}

/** Resource usage of a process between two readings. */
export interface ProcessUsage {
  /** CPU usage as a share of one core. */
  readonly processorShare: number
  /** Sum of bytes written and read per second. */
  readonly bytesPerSecond: number
  readonly residentBytes: number
}

const ioField = (text: string, name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0)

/**
 * Reads the resource counters of a process.
 *
 * @param pid - process id
 * @returns the reading, or undefined when there is no such process
 */
export const readProcess = (pid: number): ProcessReading | undefined => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
    // The command name, in parentheses, may contain spaces; field indices count from the state, which follows it.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const ticks = Number(fields[11]) + Number(fields[12])
    const io = readFileSync(`/proc/${pid}/io`, 'utf8')
    const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1])
    return {
      at: performance.now(),
      processorMs: ticks * 1000 / TICKS_PER_SECOND,
      bytesWritten: ioField(io, 'wchar'),
      bytesRead: ioField(io, 'rchar'),
      residentBytes: pages * PAGE_BYTES
    }
  } catch {
    return undefined
  }
}

/**
 * Calculates the resource usage between two readings of a process.
 *
 * @param before - the earlier reading
 * @param after - the later reading
 * @returns rates over the time between, and the memory at the later reading
 */
export const usageBetween = (before: ProcessReading, after: ProcessReading): ProcessUsage => {
  const elapsedMs = after.at - before.at
  return {
    processorShare: (after.processorMs - before.processorMs) / elapsedMs,
    bytesPerSecond: (after.bytesWritten - before.bytesWritten + after.bytesRead - before.bytesRead) * 1000 / elapsedMs,
    residentBytes: after.residentBytes
  }
}
