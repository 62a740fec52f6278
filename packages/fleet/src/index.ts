/** Public entry of the fleet package. */
export {}
