/** Formatter: the layout rules of Standard style only. */
import neostandard from 'neostandard'

export default neostandard({ ts: true, ignores: ['**/dist/**', '**/node_modules/**', 'target/**'] })
  .map(({ rules, ...rest }) => rules === undefined
    ? rest
    : { ...rest, rules: Object.fromEntries(Object.entries(rules).filter(([name]) => name.startsWith('@stylistic/'))) })
