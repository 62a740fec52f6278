/** Processor time and bytes of processes, read from /proc. */
import { readFileSync } from 'node:fs'

/** Clock ticks a second in /proc/PID/stat. */
const TICKS_PER_SECOND = 100

/** Bytes in a page of /proc/PID/statm. */
const PAGE_BYTES = 4096

/** A reading of one process. */
export interface ProcessReading {
  readonly at: number
  /** Milliseconds of processor time since its start. */
  readonly processorMs: number
  /** Bytes that it has written by system calls, sockets among them. */
  readonly bytesWritten: number
  /** Bytes that it has read by system calls, sockets among them. */
  readonly bytesRead: number
  readonly residentBytes: number
}

/** Use of one process between two readings. */
export interface ProcessUsage {
  /** Share of one core, from 0. */
  readonly processorShare: number
  /** Bytes a second, written and read. */
  readonly bytesPerSecond: number
  readonly residentBytes: number
}

const ioField = (text: string, name: string): number => Number(new RegExp(`^${name}: (\\d+)$`, 'm').exec(text)?.[1] ?? 0)

/**
 * Reads one process.
 *
 * @param pid - its id
 * @returns the reading, or undefined when there is no such process
 */
export const readProcess = (pid: number): ProcessReading | undefined => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
    // The command in brackets may hold spaces; the fields after it are counted from the state.
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
 * Works out the use between two readings.
 *
 * @param before - the earlier one
 * @param after - the later one
 * @returns rates over the time between
 */
export const usageBetween = (before: ProcessReading, after: ProcessReading): ProcessUsage => {
  const elapsedMs = after.at - before.at
  return {
    processorShare: (after.processorMs - before.processorMs) / elapsedMs,
    bytesPerSecond: (after.bytesWritten - before.bytesWritten + after.bytesRead - before.bytesRead) * 1000 / elapsedMs,
    residentBytes: after.residentBytes
  }
}
