/** Health states of a backend server as observed by this VM. */
export const BackendHealth = {
  Serving: 'serving',
  Suspected: 'suspected',
  Dead: 'dead',
  Leaving: 'leaving',
} as const;

/** One of the health states. */
export type BackendHealth = (typeof BackendHealth)[keyof typeof BackendHealth];
