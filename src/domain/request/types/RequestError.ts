/** Why a request was rejected before any of it ran. */
export type RequestError =
  | { readonly kind: 'malformed-json'; readonly message: string }
  | { readonly kind: 'bad-field'; readonly field: string; readonly message: string }
  | { readonly kind: 'bad-header'; readonly header: string; readonly message: string };
