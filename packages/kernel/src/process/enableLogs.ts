/** Switches log output on. Imported before anything that loads the log library, which reads the variable once. */
process.env['ROARR_LOG'] ??= 'true'
