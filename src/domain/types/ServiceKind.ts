/** Kinds of service: a model served by engines, or a plain HTTP service. */
export const ServiceKind = { Model: 'model', Plain: 'plain' } as const;

/** One of the kinds of service. */
export type ServiceKind = (typeof ServiceKind)[keyof typeof ServiceKind];
