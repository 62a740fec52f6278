/** Public entry of the standins package. */
export {}
