/** Public entry of the agent package. */
export {}
