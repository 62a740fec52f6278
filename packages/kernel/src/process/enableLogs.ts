/** Enables log output. Must be imported before the log library is loaded, because roarr reads ROARR_LOG when it is loaded. */
process.env['ROARR_LOG'] ??= 'true'
