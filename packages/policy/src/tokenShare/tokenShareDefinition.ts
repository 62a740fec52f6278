/** Definition of the token share policy. */
import { decideShare } from './tokenShare.js'
import { TokenShareDb } from './tokenShareDb.js'
import type { TokenShareConfig } from './tokenShareTypes.js'

/** Max-min fair shares of engine tokens between workspaces. */
export const tokenShareDefinition = {
  id: 'token-share',
  createDb: (config: TokenShareConfig) => new TokenShareDb(config),
  decide: decideShare
} as const
