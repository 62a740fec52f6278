/** Registers the counter exchange. */
import type { HostId } from '@fuchsiaworks/kernel'
import { decideExchange } from './exchange.js'
import { ExchangeDb } from './exchangeDb.js'
import type { ExchangeConfig } from './exchangeTypes.js'

/** Default settings. */
export const DEFAULT_EXCHANGE: Omit<ExchangeConfig, 'host' | 'seed'> = {
  period: 250, bytesPerSecond: 20_000, fullRoundInterval: 1, maxExtraLinks: 4, releaseAfter: 30_000
}

/** Counter exchange under its registered name. */
export const exchangeDefinition = {
  id: 'policy.exchange',
  createDb: (host: HostId, seed: number, config: Partial<ExchangeConfig> = {}): ExchangeDb => new ExchangeDb({ ...DEFAULT_EXCHANGE, ...config, host, seed }),
  decide: decideExchange
}
