/** Public entry of the admin package. */
export * from './page/adminPage.js'
export * from './routes/adminRoutes.js'
export type * from './routes/routeTypes.js'
export * from './server/adminErrors.js'
export * from './server/startAdmin.js'
