#!/usr/bin/env node
/** Starts the compiled fuchsiactl program. */
import '../dist/fuchsiactl.js'
