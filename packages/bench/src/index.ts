/** Public entry of the bench package. */
export {}
