/** Why a server is believed to have failed. */
export type SuspicionCause = 'not-connected' | 'broken' | 'silent' | 'failing' | 'told';
