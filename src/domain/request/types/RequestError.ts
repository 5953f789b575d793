/** Why a caller's request is not accepted; nothing of it ran. */
export type RequestError =
  | { readonly kind: 'malformed-json'; readonly message: string }
  | { readonly kind: 'bad-field'; readonly field: string; readonly message: string }
  | { readonly kind: 'bad-header'; readonly header: string; readonly message: string };
