/** Bundles the program for the platform, which starts faster and takes less memory than separate modules: one file for each role, and one that loads the role. */
import { readdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const root = fileURLToPath(new URL('..', import.meta.url))

/**
 * Length from which lines are broken. For an assertion that fails without a message, as undici's do on an invalid response, Node.js parses the line of the
 * failed call from its beginning: on lines of hundreds of kilobytes, that occupies the event loop for seconds.
 */
const MAX_LINE_CHARS = 500

/** Maps workspace packages to their sources, so that a clean checkout is bundled without running the compiler. */
const alias = Object.fromEntries(readdirSync(join(root, 'packages'))
  .map(name => [`@fuchsiaworks/${name}`, join(root, 'packages', name, 'src/index.ts')]))

/** Bundles a module of the platform folder with all that it imports. */
const bundle = async (entry, outfile, external = []) => {
  await build({
    absWorkingDir: root,
    entryPoints: [`platform/src/${entry}`],
    outfile: `target/${outfile}`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    mainFields: ['module', 'main'],
    minifySyntax: true,
    minifyWhitespace: true,
    lineLimit: MAX_LINE_CHARS,
    alias: {
      undici: join(root, 'scripts/undiciClient.mjs'),
      'prom-client': join(root, 'scripts/promClient.mjs'),
      'hot-shots': join(root, 'scripts/noStatsD.mjs'),
      '@fuchsiaworks/kernel/logs': join(root, 'packages/kernel/src/process/enableLogs.ts'),
      '@fuchsiaworks/gateway/stream-recorder': join(root, 'packages/gateway/src/streamRecorder/startStreamRecorder.ts'),
      '@fuchsiaworks/settings/stream-recorder': join(root, 'packages/settings/src/processSettings/streamRecorderSettings.ts'),
      ...alias
    },
    external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract', 'unix-dgram', ...external],
    banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
    logLevel: 'warning'
  })
}

// Shared chunks would hold all that any role uses, and a recorder would load most of a gateway's modules.
await bundle('main.ts', 'main.js')
await bundle('recorderMain.ts', 'recorderMain.js')
await bundle('program.ts', 'fuchsiaworks.js', ['./main.js', './recorderMain.js'])
