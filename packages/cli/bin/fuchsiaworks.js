#!/usr/bin/env node
/** Starts the compiled fuchsiaworks program. */
import '../dist/fuchsiaworks.js'
