/** Public entry of the platform package. */
export {}
