/** Counter of charges and refunds. Both numbers only grow, so that replicas merge by taking the maximum of each. */

/** Charged and refunded virtual cost. */
export interface Tally {
  /** Charged; only grows. */
  readonly total: number
  /** Refunded by corrections of estimates; only grows. */
  readonly refund: number
}

export const ZERO_TALLY: Tally = { total: 0, refund: 0 }

export const netOf = ({ total, refund }: Tally): number => total - refund

export const addTally = (a: Tally, b: Tally): Tally => ({ total: a.total + b.total, refund: a.refund + b.refund })

export const subtractTally = (a: Tally, b: Tally): Tally => ({ total: a.total - b.total, refund: a.refund - b.refund })

/** @returns the maximum of each part */
export const maxTally = (a: Tally, b: Tally): Tally => ({ total: Math.max(a.total, b.total), refund: Math.max(a.refund, b.refund) })

export const isZeroTally = ({ total, refund }: Tally): boolean => total === 0 && refund === 0

/** @returns a charge, or a refund when the amount is negative */
export const tallyFromChange = (amount: number): Tally => ({ total: Math.max(0, amount), refund: Math.max(0, -amount) })
