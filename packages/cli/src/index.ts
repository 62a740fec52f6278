/** Public entry of the cli package. */
export {}
