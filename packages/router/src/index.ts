/** Public entry of the router package. */
export {}
