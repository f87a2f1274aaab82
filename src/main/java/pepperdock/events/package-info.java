/**
 * Machine-readable events of a gatherer, for checkers that judge several gatherers together. They are no log: names and keys are
 * stable, and each event is written where it happens, in order.
 */
package pepperdock.events;
