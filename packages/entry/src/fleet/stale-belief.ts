/**
 * Age of the newest confirmation from which a host doubts what it knows: it watches the store itself,
 * and refuses no request for good. Longer than one watch request and its propagation, shorter than every
 * bound on the propagation of changes.
 */
export const STALE_BELIEF_MILLISECONDS = 1_500;
