/**
 * Simulation of a deployment in simulated time: emulated worker nodes, and several real gatherers that share nothing, each with
 * its scheduler. A run is reproducible from its seed. It measures routing, admission and limits, and says nothing of sockets.
 * Each concern draws from a random stream of its own, so that a change in one does not shift another.
 */
package pepperdock.simulation;
