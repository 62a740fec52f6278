/** Registers the admission policy of a router's queue. */
import { decideAdmission } from './admission.js'
import { AdmissionDb } from './admissionDb.js'
import type { AdmissionConfig } from './admissionTypes.js'

/** Default settings. */
export const DEFAULT_ADMISSION: AdmissionConfig = { maxWaiting: 1_000 }

/** Admission policy under its registered name. */
export const admissionDefinition = {
  id: 'policy.admission',
  createDb: (config: AdmissionConfig = DEFAULT_ADMISSION): AdmissionDb => new AdmissionDb(config),
  decide: decideAdmission
}
