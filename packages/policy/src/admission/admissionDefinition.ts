/** Registers a router's queue. */
import { decideAdmission } from './admission.js'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionConfig } from './admissionTypes.js'

/** Settings that hold where the configuration says nothing. */
export const DEFAULT_ADMISSION: AdmissionConfig = { maxWaiting: 1_000 }

/** A router's queue, by name. */
export const admissionDefinition = {
  id: 'policy.admission',
  createDb: (config: AdmissionConfig = DEFAULT_ADMISSION): AdmissionDb => new AdmissionDb(config),
  decide: decideAdmission
}
