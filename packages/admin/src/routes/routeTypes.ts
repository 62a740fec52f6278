/** What a route of the administration API is. */
import type * as z from 'zod'

/** A value that its receiver does not change. Strings go first, because a branded one is an object too. */
export type DeepReadonly<T> =
  T extends string ? T
    : T extends ReadonlyArray<infer Item> ? ReadonlyArray<DeepReadonly<Item>>
      : T extends object ? { readonly [Key in keyof T]: DeepReadonly<T[Key]> }
        : T

/** A route without its handler. Query and body are the empty object where a route takes none. */
export interface RouteDefinition<Query extends z.ZodType, Body extends z.ZodType, Answer extends z.ZodType> {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  /** One sentence for the reference page. */
  readonly describe: string
  /** `open` routes need no key. */
  readonly access: 'open' | 'key'
  readonly query: Query
  readonly body: Body
  /** Schema of the answer. */
  readonly responseSchema: Answer
  /** Status of an answer; 200 where it is missing. */
  readonly statusOf?: (answer: DeepReadonly<z.output<Answer>>) => number
}

/** Any route. */
export type AnyRoute = RouteDefinition<z.ZodType, z.ZodType, z.ZodType>

/** What a handler gets. */
export interface RouteInput<Route extends AnyRoute> {
  readonly query: z.output<Route['query']>
  readonly body: z.output<Route['body']>
}

/** What a handler gives. */
export type RouteAnswer<Route extends AnyRoute> = DeepReadonly<z.output<Route['responseSchema']>>

/** Answers one route. */
export type RouteHandler<Route extends AnyRoute> = (input: RouteInput<Route>) => RouteAnswer<Route> | Promise<RouteAnswer<Route>>

/** A route with its handler, as the server takes it. */
export interface ServedRoute extends AnyRoute {
  readonly handle: (input: { readonly query: unknown, readonly body: unknown }) => unknown
}

/**
 * Defines a route with its types.
 *
 * @param route - the definition
 * @returns the same definition
 */
export const defineRoute = <Query extends z.ZodType, Body extends z.ZodType, Answer extends z.ZodType>(
  route: RouteDefinition<Query, Body, Answer>
): RouteDefinition<Query, Body, Answer> => route
