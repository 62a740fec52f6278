/** Rules for imports between files and packages. */
module.exports = {
  forbidden: [
    { name: 'no-circular', severity: 'error', from: {}, to: { circular: true } },
    { name: 'policy-stays-pure', severity: 'error', from: { path: '^packages/policy/src' }, to: { path: '^packages/(router|agent|wire|platform)/' } },
    { name: 'only-the-adapter-knows-the-platform', severity: 'error', from: { path: '^packages/' }, to: { path: '^platform/' } },
    { name: 'no-foreign-internals', severity: 'error', from: { path: '^packages/([^/]+)/src' }, to: { path: '^packages/[^/]+/src', pathNot: ['^packages/$1/src', '^packages/[^/]+/src/index\\.ts$'] } }
  ],
  options: {
    includeOnly: '^(packages/[^/]+|platform|soak)/src',
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { extensions: ['.ts', '.js'], exportsFields: ['exports'], conditionNames: ['types', 'import'] }
  }
}
