/** Enables log output. Must be imported before the log library is loaded, because roarr reads the variable only once. */
process.env['ROARR_LOG'] ??= 'true'
