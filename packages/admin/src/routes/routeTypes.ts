/** Types of the routes of the administration API. */
import type * as z from 'zod'

/** Read-only version of a type at every depth. Strings are checked first, because a branded string also extends object. */
export type DeepReadonly<T> =
  T extends string ? T
    : T extends ReadonlyArray<infer Item> ? ReadonlyArray<DeepReadonly<Item>>
      : T extends object ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
        : T

/** A route without its handler. The schemas of query and body accept only the empty object when a route takes none. */
export interface RouteDefinition<Query extends z.ZodType, Body extends z.ZodType, ResponseSchema extends z.ZodType> {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  /** Summary in one sentence, for the reference page. */
  readonly summary: string
  /** Routes with `open` access require no key. */
  readonly access: 'open' | 'key'
  readonly query: Query
  readonly body: Body
  /** Schema of the response value. */
  readonly responseSchema: ResponseSchema
  /** HTTP status of a response value; 200 when omitted. */
  readonly statusOf?: (response: DeepReadonly<z.output<ResponseSchema>>) => number
}

/** A route definition with any schemas. */
export type AnyRoute = RouteDefinition<z.ZodType, z.ZodType, z.ZodType>

/** Validated input of a handler. */
export interface RouteInput<Route extends AnyRoute> {
  readonly query: z.output<Route['query']>
  readonly body: z.output<Route['body']>
}

/** Response value that a handler returns. */
export type RouteResponse<Route extends AnyRoute> = DeepReadonly<z.output<Route['responseSchema']>>

/** Handler of one route. */
export type RouteHandler<Route extends AnyRoute> = (input: RouteInput<Route>) => RouteResponse<Route> | Promise<RouteResponse<Route>>

/** A route with its handler, for the server. */
export interface BoundRoute extends AnyRoute {
  readonly handle: (input: { readonly query: unknown, readonly body: unknown }) => unknown
}

/**
 * Defines a route; infers the types of its schemas.
 *
 * @param route - the definition
 * @returns the same definition
 */
export const defineRoute = <Query extends z.ZodType, Body extends z.ZodType, ResponseSchema extends z.ZodType>(
  route: RouteDefinition<Query, Body, ResponseSchema>
): RouteDefinition<Query, Body, ResponseSchema> => route
