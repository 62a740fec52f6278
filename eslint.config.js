/** Linter: Standard style without its layout rules, which the formatter checks. */
import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, noStyle: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts', 'soak/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['@fuchsiaworks/*/*', '!@fuchsiaworks/gateway/stream-recorder', '!@fuchsiaworks/kernel/logs', '!@fuchsiaworks/platform-adapter/standins', '!@fuchsiaworks/settings/stream-recorder'], message: 'Import the public entry of the package.' }] }]
    }
  }
]
