/** Why a server is suspected to have failed. */
export type SuspicionCause = 'not-connected' | 'broken' | 'silent' | 'failing' | 'told';
