/** Public entry of the settings package. */
export {}
