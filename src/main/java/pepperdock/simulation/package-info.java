/**
 * The laboratory: emulated ledger nodes in simulated time round the real core and module, several gatherers that share
 * nothing, the same result for the same seed. A measuring ground for what is claimed of routing and limits; it says nothing
 * of sockets. Randomness comes in a stream for each concern, so that a change in one does not shift another.
 */
package pepperdock.simulation;
