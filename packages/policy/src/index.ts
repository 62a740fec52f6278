/** Public entry of the policy package. */
export {}
